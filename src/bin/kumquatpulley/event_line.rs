//! Events of a time line as lines for people.

use std::time;

use kumquatpulley::process::timeline;

/// Fields that have columns of their own.
const COLUMN_FIELDS: [&str; 4] = ["stamp", "process", "request", "event"];

/// Puts the events of several processes in causal order.
pub fn merge(lists: Vec<Vec<timeline::TimelineEvent>>) -> Vec<timeline::TimelineEvent> {
    let mut events: Vec<timeline::TimelineEvent> = lists.into_iter().flatten().collect();
    events.sort_by(|left, right| (left.stamp, &left.process).cmp(&(right.stamp, &right.process)));
    events
}

/// Time, process, name, details, and the request if `names_request`.
pub fn line(event: &timeline::TimelineEvent, names_request: bool) -> String {
    let at = time::UNIX_EPOCH + time::Duration::from_micros(event.stamp.micros);
    let at = humantime::format_rfc3339_micros(at);
    let fields = match serde_json::to_value(event) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    let name = fields.get("event").map(plain).unwrap_or_default();
    let details = fields
        .iter()
        .filter(|(field, _value)| !COLUMN_FIELDS.contains(&field.as_str()));
    let details: Vec<String> = details
        .map(|(field, value)| format!("{field}={}", quoted(value)))
        .collect();
    let request = match &event.request {
        Some(request) if names_request => format!(" request={request}"),
        _ => String::new(),
    };
    let line = format!(
        "{at} {:<8} {name:<17} {}{request}",
        event.process,
        details.join(" ")
    );
    line.trim_end().to_owned()
}

fn plain(value: &serde_json::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Text with spaces keeps its quotation marks.
fn quoted(value: &serde_json::Value) -> String {
    let text = plain(value);
    if text.contains(' ') {
        return value.to_string();
    }
    text
}
