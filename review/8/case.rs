//! A new version of the configuration adds a public route below one that needs a key. The clients still
//! send their keys.
#[path = "../standins-2/kit.rs"]
mod kit;

use std::thread;

use kit::ms;

const KEYS: [(&str, &str); 2] = [("key-of-hule", "hule"), ("key-of-mira", "mira")];
const CALLS: usize = 20;

fn config(version: u64, more_routes: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"stock","host":"case.example","prefix":"/stock/",
"kind":"safe","timeout_ms":1500,"goal_ms":100,"priority":2,"service":"portal","attempts":2,"public":false}}
{more_routes}],"services":[{{"name":"portal","health_path":"/health","max_conns":200,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"hule","api_keys":["key-of-hule"],"priority":1}},
{{"name":"mira","api_keys":["key-of-mira"],"priority":1}}]}}"#
    )
}

const PUBLIC_ROUTE: &str = r#",{"name":"list","host":"case.example","prefix":"/stock/list/",
"kind":"safe","timeout_ms":1500,"goal_ms":100,"priority":2,"service":"portal","attempts":2,"public":true}"#;

fn main() {
    kit::run(|record| {
        let deployment = kit::Deployment::new();
        let store = kit::Store::start(deployment.ip(250));
        store.put("op", "config", &config(1, ""));
        let work = || kit::plain_service(record, ms(15), b"in stock");
        let first = kit::Runner::start(&store, deployment.ip(200), "i-one", "portal", 6, work());
        let second = kit::Runner::start(&store, deployment.ip(201), "i-two", "portal", 6, work());
        let router = deployment.router(1, &store, true);
        router.wait_ready();
        thread::sleep(ms(4000));
        let call = |number: usize, phase: &str| {
            let (key, tenant) = KEYS[number % KEYS.len()];
            let id = format!("{phase}-{tenant}-{number}");
            let text = format!(
                "GET /stock/list/{number} HTTP/1.1\r\nHost: case.example\r\n{}: {id}\r\n\
                 Kumquatpulley-Deadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n\
                 Connection: close\r\n\r\n",
                kit::ID
            );
            let answer = kit::exchange(router.front(), text.as_bytes(), ms(1500));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("client sends {id} with the key of {tenant}: {status}"));
        };
        for number in 0..CALLS {
            call(number, "before");
        }
        if kit::has_trouble() {
            store.put("op", "config", &config(2, PUBLIC_ROUTE));
            record.line("version 2 is acknowledged: it adds the public route /stock/list/");
        }
        // config_ms is 2,000.
        thread::sleep(ms(3000));
        for number in 0..CALLS {
            call(number, "after");
        }
        drop(router);
        let mut arrivals = first.arrivals.lock().unwrap().clone();
        arrivals.extend(second.arrivals.lock().unwrap().clone());
        arrivals.sort_by_key(|arrival| arrival.at);
        let mut is_broken = false;
        for arrival in &arrivals {
            let message = &arrival.message;
            let id = message.field(kit::ID).unwrap_or("");
            let tenant = message.field("Kumquatpulley-Tenant").unwrap_or("none");
            let key = message.field("Authorization").unwrap_or("none");
            let is_passed_on = KEYS.iter().any(|(held, _)| key.contains(held));
            record.line(format!(
                "{} runs {id} at {} ms: Kumquatpulley-Tenant {tenant}, Authorization {key}{}",
                arrival.runner,
                arrival.at,
                if is_passed_on { "  <- UNASKED" } else { "" }
            ));
            is_broken |= is_passed_on;
        }
        is_broken
    });
}
