//! Builds HTTP responses for refused requests.

use crate::request::verdict;

/// JSON body of a refusal.
#[must_use]
pub fn body(refusal: &verdict::RequestRefusal) -> serde_json::Value {
    serde_json::json!({
        "error": {
            "code": refusal.code,
            "message": refusal.message,
            "verdict": refusal.verdict,
            "retry_after_s": refusal.retry_after_seconds(),
            "home": refusal.home,
        }
    })
}

/// Response with the JSON body, the verdict header and, where set, `Retry-After`.
#[must_use]
pub fn response(refusal: &verdict::RequestRefusal) -> tide::Response {
    let mut builder = tide::Response::builder(refusal.status)
        .content_type("application/json")
        .header(verdict::VERDICT_HEADER, refusal.verdict.as_str())
        .body(body(refusal).to_string());
    if let Some(seconds) = refusal.retry_after_seconds() {
        builder = builder.header("retry-after", seconds.to_string());
    }
    if refusal.status == 401 {
        builder = builder.header("www-authenticate", "Bearer");
    }
    builder.build()
}
