//! HTTP client for the operator interface of routers.

use std::time;

use kumquatpulley::connection::http;
use kumquatpulley::process::telemetry::status;
use kumquatpulley::process::telemetry::timeline;

use crate::exit_code;
use crate::failure;

const ADMIN_LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(500),
    head: time::Duration::from_secs(2),
};
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Fetches the status of a router.
pub async fn status(address: &str) -> failure::Result<status::RouterStatus> {
    get(address, "/admin/status").await
}

/// Fetches the events of a router; only those of `request` when it is given.
pub async fn events(
    address: &str,
    request: Option<&str>,
) -> failure::Result<Vec<timeline::TimelineEvent>> {
    let Some(request) = request else {
        return get(address, "/admin/timeline").await;
    };
    let mut query = http::request(http_types::Method::Get, address, "/admin/timeline");
    query
        .url_mut()
        .query_pairs_mut()
        .append_pair("request", request);
    let path = format!(
        "{}?{}",
        query.url().path(),
        query.url().query().unwrap_or_default()
    );
    get(address, &path).await
}

/// Tells a router to finish its requests and stop.
pub async fn drain(address: &str) -> failure::Result<()> {
    exchange(http_types::Method::Post, address, "/admin/drain").await?;
    Ok(())
}

async fn get<T: serde::de::DeserializeOwned>(address: &str, path: &str) -> failure::Result<T> {
    let bytes = exchange(http_types::Method::Get, address, path).await?;
    let answer = serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!(
            "{address} gave an unreadable answer; check that it is a router's operator address \
             and of this release: {error}"
        );
        failure::CommandFailure::new(exit_code::ExitCode::Software, message)
    })?;
    Ok(answer)
}

async fn exchange(
    method: http_types::Method,
    address: &str,
    path: &str,
) -> failure::Result<Vec<u8>> {
    let exchanged =
        http::send_json(method, address, path, None, ADMIN_LIMITS, MAX_ANSWER_BYTES).await;
    let (status, bytes) = exchanged.map_err(|error| {
        let message = format!("{error}; check the operator address or name another router");
        failure::CommandFailure::new(exit_code::ExitCode::Unavailable, message)
    })?;
    if (200..300).contains(&status) {
        return Ok(bytes);
    }
    let message = format!(
        "{address} answered with status {status}; check that it is a router's operator address"
    );
    Err(failure::CommandFailure::new(exit_code::ExitCode::Unavailable, message).into())
}
