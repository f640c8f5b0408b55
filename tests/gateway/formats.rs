//! The platform's formats are read and written as its documentation publishes them.

use std::time;

use kumquatpulley::connection::h1::head;
use kumquatpulley::platform::{config_wire, entry_wire, info_dialect, report_wire};
use kumquatpulley::platform::{request_header, settings_wire};
use kumquatpulley::process::gateway::info_server;
use kumquatpulley::process::gateway::info_server::InfoDialect as _;
use kumquatpulley::request::relay::dialect::RequestDialect as _;
use kumquatpulley::request::relay::{attempt, dialect};
use kumquatpulley::version::traffic;

use crate::common;

fn request(fields: &[(&str, &str)]) -> head::RequestHead {
    let mut headers = head::HeaderList::default();
    for (name, value) in fields {
        headers.push(name, value);
    }
    head::RequestHead {
        method: "POST".to_owned(),
        target: "/quotes/1".to_owned(),
        is_http11: true,
        headers,
    }
}

const VALID_FIELDS: [(&str, &str); 4] = [
    ("Host", "shop.example"),
    ("Kumquatpulley-Request-Id", "r1"),
    ("Kumquatpulley-Deadline-Ms", "1500"),
    ("Authorization", "Bearer k1"),
];

fn valid_terms_are_read() {
    let terms = request_header::HeaderDialect.request_metadata(&request(&VALID_FIELDS));
    let terms = terms.expect("a valid request");
    assert_eq!(terms.id, "r1");
    assert_eq!(
        terms.caller_timeout,
        Some(time::Duration::from_millis(1_500))
    );
    assert_eq!(terms.key.as_deref(), Some("k1"));
    assert_eq!(terms.last_event, None);
}

/// Only one well-formed name says which stream a caller takes up.
fn the_resumed_request_is_read(values: &[&str], expected: Option<&str>) {
    let mut head = request(&VALID_FIELDS);
    for value in values {
        head.headers.push("Resumes", value);
    }
    let terms = request_header::HeaderDialect.request_metadata(&head);
    assert_eq!(terms.expect("a valid request").resumes.as_deref(), expected);
}

/// The last part belongs to one request or its session, so it is not shared.
fn shared_parts_of_a_prompt_are_read(prompt: &str, expected: &[u64]) {
    let mut head = request(&VALID_FIELDS);
    head.headers.push("Kumquatpulley-Prompt-Prefix", prompt);
    let terms = request_header::HeaderDialect.request_metadata(&head);
    let parts = terms.expect("a valid request").shared_parts;
    let parts: Vec<u64> = parts.into_iter().map(|part| part.0).collect();
    assert_eq!(parts, expected);
}

fn invalid_terms_are_refused(name: &str, values: &[&str]) {
    let mut head = request(&VALID_FIELDS);
    head.headers.remove(name);
    for value in values {
        head.headers.push(name, value);
    }
    let refusal = request_header::HeaderDialect.request_metadata(&head);
    assert_eq!(refusal.map_err(|refusal| refusal.status), Err(400));
}

fn internal_headers_from_callers_are_removed() {
    let mut head = request(&VALID_FIELDS);
    for name in [
        "Kumquatpulley-Tenant",
        "Kumquatpulley-Expect-Runner",
        "Kumquatpulley-Hold",
        "Kumquatpulley-Pin-Ms",
        "Kumquatpulley-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Kumquatpulley-Request-Priority",
    ] {
        head.headers.push(name, "smuggled");
    }
    head.headers.push("X-Own", "kept");
    let terms = dialect::ForwardParams {
        time_left: time::Duration::from_millis(900),
        endpoint: "e1",
        workspace: Some("w1"),
        drops_key: true,
        rank: None,
        copy_holder: None,
        copy_source: None,
        last_event: None,
    };
    let sent = request_header::HeaderDialect.request_head(&head, &terms);
    let text = String::from_utf8(head::write_request(&sent, 3)).expect("text");
    expect_test::expect![[r"
        POST /quotes/1 HTTP/1.1
        Host: shop.example
        Kumquatpulley-Request-Id: r1
        X-Own: kept
        Kumquatpulley-Deadline-Ms: 900
        Kumquatpulley-Expect-Runner: e1
        Kumquatpulley-Tenant: w1
        Content-Length: 3
        Connection: close

    "]]
    .assert_eq(&text.replace("\r\n", "\n"));
}

fn a_resumed_request_names_copy_and_event() {
    let source = dialect::CopySource {
        address: "10.0.0.2:80".parse().expect("an address"),
        name: "r1".to_owned(),
    };
    let terms = dialect::ForwardParams {
        time_left: time::Duration::from_millis(900),
        endpoint: "e2",
        workspace: None,
        drops_key: false,
        rank: Some(0),
        copy_holder: Some("10.0.0.3:80".parse().expect("an address")),
        copy_source: Some(&source),
        last_event: Some(12),
    };
    let sent = request_header::HeaderDialect.request_head(&request(&VALID_FIELDS), &terms);
    let value = |name: &str| sent.headers.get(name).map(str::to_owned);
    assert_eq!(value("Kv-From").as_deref(), Some("10.0.0.2:80/r1"));
    assert_eq!(
        value("Kumquatpulley-Kv-Backup").as_deref(),
        Some("10.0.0.3:80")
    );
    assert_eq!(value("Last-Event-Id").as_deref(), Some("12"));
    assert_eq!(
        value("Kumquatpulley-Request-Priority").as_deref(),
        Some("0")
    );
}

const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"r","host":"Shop.example","prefix":"/q/","kind":"stream","timeout_ms":25000,"goal_ms":4500,
     "priority":1,"service":"m","attempts":5,"public":false,"sticky":true,"can_resume":true,
     "gap_goal_ms":700},
    {"name":"s","host":"shop.example","prefix":"/s/","kind":"unsafe","timeout_ms":800,
     "split":[{"service":"a","weight":90},{"service":"b","weight":10}],"attempts":1}],
    "services":[{"name":"m","health_path":"/health","engine":{"slots":4,"backups":true,"moves":true}},
    {"name":"a","health_path":"/h"}],
    "limits":{"max_header_bytes":1,"max_body_bytes":2,"header_timeout_ms":3,"idle_timeout_ms":4},
    "tenants":[{"name":"w1","api_keys":["k1","k2"],"priority":3}],"unknown":1}"#;

fn a_configuration_is_read() {
    let version = config_wire::decode(CONFIG.as_bytes()).expect("a valid configuration");
    assert_eq!(version.number(), 7);
    let route = version.route("shop.example", "/q/1").expect("a route");
    assert_eq!(
        route.kind,
        traffic::RepeatKind::Stream { is_resumable: true }
    );
    assert_eq!(route.gap_goal, Some(time::Duration::from_millis(700)));
    let route = version.route("shop.example", "/s/1").expect("a route");
    assert_eq!(route.kind, traffic::RepeatKind::Once);
    assert_eq!(route.services.len(), 2);
    assert!(version.requires_keys());
    assert_eq!(version.workspace("k2").expect("a workspace").name, "w1");
    assert_eq!(version.workspace("k3"), None);
    assert!(version.service("m").expect("a service").has_backups);
    assert!(!version.service("a").expect("a service").has_backups);
    assert!(version.service("m").expect("a service").has_moves);
    assert!(!version.service("a").expect("a service").has_moves);
    assert_eq!(version.limits().body_bytes, 2);
}

fn unknown_route_kind_is_not_retried() {
    let text = CONFIG.replace("\"unsafe\"", "\"novel\"");
    let version = config_wire::decode(text.as_bytes()).expect("a valid configuration");
    let route = version.route("shop.example", "/s/1").expect("a route");
    assert!(!route.kind.may_repeat());
}

fn entry_is_refused(text: &str) {
    let decoded = entry_wire::decode("e1", text.as_bytes());
    assert_eq!(decoded.ok(), None);
}

fn an_entry_is_read() {
    let text = r#"{"service":"m","addr":"10.0.0.1:80","zone":"z1","version":"v1","slots":64,
        "state":"draining","cold_left_ms":0,"seq":4,"born":12}"#;
    let record = entry_wire::decode("e1", text.as_bytes()).expect("a valid entry");
    assert!(record.is_leaving);
    assert_eq!((record.incarnation, record.slots), (12, 64));
    // Guards against endpoints whose version a roll-out cannot tell.
    assert_eq!(record.version, "v1");
}

fn a_report_is_read() {
    let text =
        r#"{"queued":1,"active":2,"kv_used":10,"kv_total":90,"runs":[["r1",100,3,2]],"x":0}"#;
    let report = report_wire::decode(text.as_bytes()).expect("a valid report");
    assert_eq!((report.waiting, report.running), (1, 2));
    assert_eq!(report.runs.expect("a list of runs")[0].request, "r1");
}

/// A report without a usable start time must not exclude an engine that works.
fn the_start_time_of_a_report_is(field: &str, expected: u64) {
    let text = format!(r#"{{{field}"queued":1,"active":2,"kv_used":10,"kv_total":90,"runs":[]}}"#);
    let report = report_wire::decode(text.as_bytes()).expect("a valid report");
    assert_eq!(report.incarnation, expected);
    assert_eq!((report.waiting, report.running), (1, 2));
}

const SETTINGS: &str = "node: v1\nip: 127.0.0.1\nzone: z1\nnew_field: {a: 1}\n\
    listen: {front: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3'}\n\
    seeds: ['127.0.0.1:3', '127.0.0.1:3']\nlimits: {memory_mb: 96, max_fds: 2870}\n\
    bounds: {strict_revoke: true, revoke_ms: 5000, grace_s: 8}\nplatform: {addr: '127.0.0.1:4'}\n";

fn settings_are_read() {
    let settings = settings_wire::parse(SETTINGS).expect("valid settings");
    assert_eq!(settings.router, "v1");
    assert_eq!(settings.address_listen, None);
    assert_eq!(settings.seeds, ["127.0.0.1:3"]);
    assert_eq!(
        settings.bounds.max_key_age,
        Some(time::Duration::from_secs(5))
    );
}

/// Guards against a roll-out where the settings do not switch it on, and against bounds other than
/// those of the file.
fn rollout_settings_are_read(extra: &str, follows: bool, bounds: (f64, f64, u64)) {
    let text = SETTINGS.replace("grace_s: 8}", &format!("grace_s: 8{extra}"));
    let settings = settings_wire::parse(&text).expect("valid settings");
    assert_eq!(settings.follows_rollouts, follows);
    let (share, slack, rollback_ms) = bounds;
    let read = settings.bounds;
    assert!((read.expose_share - share).abs() < f64::EPSILON);
    assert!((read.expose_slack - slack).abs() < f64::EPSILON);
    assert_eq!(
        read.rollback_limit,
        time::Duration::from_millis(rollback_ms)
    );
}

fn all_settings_errors_are_reported_at_once() {
    let text = "node: ''\nlisten: {front: nonsense}\nplatform: {addr: ''}\n";
    let errors = settings_wire::parse(text).expect_err("invalid settings");
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    expect_test::expect![[r#"
        node is missing; set a name that is unique among VMs
        listen.front: "nonsense" is no IP address with port; set one
        listen.control is missing; set an IP address with port
        ip: ":9464" is no IP address with port; set one
        platform.addr is missing; set an IP address with port"#]]
    .assert_eq(&errors.join("\n"));
}

fn info_requests_are_parsed() {
    let dialect = info_dialect::HttpInfoDialect;
    assert_eq!(
        dialect.parse_request("/ready"),
        Some(info_server::InfoRequest::Ready)
    );
    assert_eq!(
        dialect.parse_request("/resolve?name=a"),
        Some(info_server::InfoRequest::Addresses)
    );
    assert_eq!(
        dialect.parse_request("/metrics"),
        Some(info_server::InfoRequest::Metrics)
    );
    assert_eq!(dialect.parse_request("/else"), None);
    let body = dialect.address_body(&["10.0.0.1:1".to_owned()], time::Duration::from_secs(2));
    assert_eq!(body, br#"{"addrs":["10.0.0.1:1"],"ttl_s":2.0}"#);
}

fn copy_move_is_requested_and_its_answer_read() {
    let dialect = request_header::HeaderDialect;
    let (source, holder) = (address("10.0.0.1:80"), address("10.0.0.2:80"));
    let (head, body) = dialect.move_copy(source, "r1", holder);
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("POST", "/kv-move")
    );
    assert_eq!(body, br#"{"id":"r1","to":"10.0.0.2:80"}"#);
    let answer = |body: &str| attempt::FullResponse {
        head: head::ResponseHead {
            status: 200,
            headers: head::HeaderList::default(),
        },
        body: body.as_bytes().to_vec(),
        reservation: None,
    };
    let moved = |body| dialect.moved_copy(&answer(body));
    assert_eq!(
        moved(r#"{"handle":"h7","created_rev":3}"#).as_deref(),
        Some("h7")
    );
    assert_eq!(
        moved(r#"{"handle":7,"created_rev":3}"#).as_deref(),
        Some("7")
    );
    assert_eq!(moved("no copy"), None);
    let freed = dialect.free_copy(source, "h7");
    assert_eq!(
        (freed.method.as_str(), freed.target.as_str()),
        ("DELETE", "/kv-handle/h7")
    );
}

fn marks(status: u16, fields: &[(&str, &str)]) -> dialect::ResponseMetadata {
    let mut headers = head::HeaderList::default();
    for (name, value) in fields {
        headers.push(name, value);
    }
    request_header::HeaderDialect.response_metadata(&head::ResponseHead { status, headers })
}

fn retry_after_is(status: u16, value: &str, pause: Option<u64>) {
    let marks = marks(status, &[("Retry-After", value)]);
    assert_eq!(marks.notice.pause, pause.map(time::Duration::from_millis));
}

fn limit_is(value: &str, millirequests: Option<u64>) {
    let limit = marks(200, &[("server-limit", value)]).notice.limit;
    assert_eq!(limit.map(|rate| rate.0), millirequests);
}

fn leaving_is(value: &str, is_leaving: bool) {
    assert_eq!(
        marks(200, &[("server-leaving", value)]).notice.is_leaving,
        is_leaving
    );
}

fn address(text: &str) -> std::net::SocketAddr {
    text.parse().expect("an address")
}

common::cases! {
    resumes_one: the_resumed_request_is_read(&["r0"], Some("r0"));
    resumes_none: the_resumed_request_is_read(&[], None);
    resumes_two: the_resumed_request_is_read(&["r0", "r1"], None);
    resumes_empty: the_resumed_request_is_read(&[" "], None);
    three_parts: shared_parts_of_a_prompt_are_read("5C1e07a2:800, 91bd3f06:410,e4402b7d:250", &[0x5c1e_07a2, 0x91bd_3f06]);
    one_part: shared_parts_of_a_prompt_are_read("5c1e07a2:800", &[]);
    part_without_tokens: shared_parts_of_a_prompt_are_read("5c1e07a2,,e4402b7d:250", &[0x5c1e_07a2]);
    leaving_header: leaving_is("1", true);
    not_leaving_header: leaving_is("0", false);
    limit_fraction: limit_is(" 2.7 ", Some(2_700));
    limit_integer: limit_is("40", Some(40_000));
    limit_zero: limit_is("0", Some(0));
    limit_too_large: limit_is("1e300", Some(1_000_000_000_000));
    limit_infinite: limit_is("inf", Some(1_000_000_000_000));
    limit_negative: limit_is("-1", None);
    limit_not_a_number: limit_is("NaN", None);
    limit_comma: limit_is("2,7", None);
    limit_empty: limit_is("", None);
    retry_after_integer: retry_after_is(503, "2", Some(2_000));
    retry_after_fraction: retry_after_is(503, " 0.25 ", Some(250));
    retry_after_on_success: retry_after_is(200, "2", None);
    retry_after_negative: retry_after_is(503, "-1", None);
    retry_after_infinite: retry_after_is(503, "inf", None);
    retry_after_too_large: retry_after_is(503, "1e300", None);
    retry_after_date: retry_after_is(503, "Fri, 04 Dec 2026 12:00:00 GMT", None);
    moved_copy: copy_move_is_requested_and_its_answer_read();
    valid_request: valid_terms_are_read();
    no_id: invalid_terms_are_refused("Kumquatpulley-Request-Id", &[]);
    two_ids: invalid_terms_are_refused("Kumquatpulley-Request-Id", &["a", "b"]);
    two_hosts: invalid_terms_are_refused("Host", &["a", "b"]);
    two_keys: invalid_terms_are_refused("Authorization", &["Bearer a", "Bearer b"]);
    negative_deadline: invalid_terms_are_refused("Kumquatpulley-Deadline-Ms", &["-5"]);
    huge_deadline: invalid_terms_are_refused("Kumquatpulley-Deadline-Ms", &["99999999999999999999999"]);
    event_id_not_numeric: invalid_terms_are_refused("Last-Event-Id", &["x"]);
    smuggled_fields: internal_headers_from_callers_are_removed();
    resumed_request: a_resumed_request_names_copy_and_event();
    configuration: a_configuration_is_read();
    unknown_kind: unknown_route_kind_is_not_retried();
    entry: an_entry_is_read();
    entry_without_service: entry_is_refused(r#"{"addr":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"}"#);
    entry_with_unknown_state: entry_is_refused(r#"{"service":"m","addr":"10.0.0.1:80","zone":"z","slots":1,"state":"odd"}"#);
    entry_of_another_type: entry_is_refused(r#"{"service":5,"addr":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"}"#);
    entry_not_json: entry_is_refused("\u{1}\u{2}");
    report: a_report_is_read();
    report_with_start_time: the_start_time_of_a_report_is(r#""born":1765040000123,"#, 1_765_040_000_123);
    report_without_start_time: the_start_time_of_a_report_is("", 0);
    report_with_start_time_zero: the_start_time_of_a_report_is(r#""born":0,"#, 0);
    report_with_start_time_as_text: the_start_time_of_a_report_is(r#""born":"12","#, 0);
    report_with_start_time_as_list: the_start_time_of_a_report_is(r#""born":[12],"#, 0);
    settings: settings_are_read();
    settings_without_contracts: rollout_settings_are_read("}", false, (0.1, 50.0, 5_000));
    settings_with_empty_contracts: rollout_settings_are_read("}\ncontracts:", false, (0.1, 50.0, 5_000));
    settings_with_other_contracts:
        rollout_settings_are_read("}\ncontracts: [rollouts]", false, (0.1, 50.0, 5_000));
    settings_with_rollout:
        rollout_settings_are_read("}\ncontracts: [x, rollout]", true, (0.1, 50.0, 5_000));
    settings_with_rollout_bounds: rollout_settings_are_read(
        ", expose_share: 0.2, expose_slack: 7, rollback_ms: 300}\ncontracts: ['rollout']",
        true,
        (0.2, 7.0, 300)
    );
    settings_errors: all_settings_errors_are_reported_at_once();
    info_requests: info_requests_are_parsed();
}
