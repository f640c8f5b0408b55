//! A system whose runners crash on some prompts: runners as processes of their own, clients, and counts.

use crate::common::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: u8 = 3;
/// Runners of the plain service.
const PORTALS: u8 = 3;
/// `contact_ms`.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// Time until a runner that crashed on a request is back: "after some seconds".
pub const DOWN: Duration = Duration::from_secs(3);
/// Time in which a runner reads a prompt: 8,000 tokens, of which it reads 8 in a millisecond.
const PREFILL: Duration = Duration::from_millis(1_000);
/// Time from the beginning of a run to the crash that the request causes.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time for a configuration; `config_ms` is 2,000.
const CONFIG_TIME: Duration = Duration::from_secs(4);
const EVENTS: u32 = 20;
const EVENT_GAP: Duration = Duration::from_millis(50);
const SLOTS: u32 = 32;
/// First part of all prompts, as a shared system prompt is.
const FIRST_PART: u64 = 0x5c1e_07a2;
/// First part after the application has changed its system prompt.
const CHANGED_PART: u64 = 0x91bd_3f06;
/// Time from this change to the crash of a zone, while the first prompts with the part are read.
const ZONE_CRASH_DELAY: Duration = Duration::from_millis(900);
/// Part that crashes runners; never the last one of a prompt.
const DEADLY_PART: &str = "dead0001";
/// Body of the request that crashes runners.
const DEADLY_BODY: &str = "this request crashes each runner that begins to run it";
const CALM: Duration = Duration::from_secs(9);
const LOAD: Duration = Duration::from_secs(70);
/// Pauses between requests of all clients together.
pub const SOUND_PAUSE: Duration = Duration::from_millis(125);
const CHECK_PAUSE: Duration = Duration::from_millis(50);
const DEADLY_PAUSE: Duration = Duration::from_secs(2);

/// What crashes runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadly {
    /// One request that comes again, when a runner begins to run it.
    Request,
    /// A part of prompts, no two alike, when a runner begins to write an answer.
    Part,
    /// No request. The runners of one zone crash together, once.
    Zone,
}

/// When a runner sends the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadTime {
    /// Once it has a slot, as servers of event streams often do.
    Admission,
    /// With the first event.
    FirstEvent,
}

#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub deadly: Deadly,
    pub head: HeadTime,
    /// Parts that all prompts share, before the one that crashes runners, if they have it.
    pub shared_parts: usize,
    /// Whether the head of the answer is out when a runner crashes.
    pub is_head_out: bool,
    /// Model runners, spread over the zones.
    pub runners: u8,
    pub zones: u8,
    /// Pause between sound prompts of all clients together.
    pub pause: Duration,
    /// Time until a runner that crashed is back.
    pub down: Duration,
}

impl Play {
    /// Start of the list of parts of all prompts: the first part, then those of earlier turns.
    fn prefix(&self, first_part: u64) -> String {
        let parts = (0..self.shared_parts).map(|part| format!("{:x}:200,", first_part + part as u64));
        parts.collect()
    }
}

// ------------------------------------------------------------ a runner's process

/// Runs as a model runner if the arguments say so; does not return then.
pub fn run_as_runner(arguments: &[String], play: Play) {
    if arguments.get(1).map(String::as_str) != Some("runner") {
        return;
    }
    let address: SocketAddr = arguments[3].parse().expect("an address");
    let listener = TcpListener::bind(address).expect("a free port");
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    loop {
        let Ok((stream, _)) = listener.accept() else { continue };
        let (runs, number) = (Arc::clone(&runs), arguments[2].clone());
        thread::spawn(move || {
            let mut wire = Wire::new(stream);
            while let Some(request) = wire.read_message() {
                if !answer(&mut wire, &request, &number, &runs, play) {
                    return;
                }
            }
        });
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _written = writeln!(out, "{line}");
    let _flushed = out.flush();
}

/// What a crash of the process looks like: the kernel closes all its sockets.
fn crash(id: &str, number: &str) -> ! {
    say(&format!("crash {id} s{number}"));
    std::process::abort();
}

fn answer(
    wire: &mut Wire,
    request: &Message,
    number: &str,
    runs: &Mutex<HashMap<String, u32>>,
    play: Play,
) -> bool {
    if request.path() == "/health" {
        return respond(wire, 200, &format!("Kumquatpulley-Runner-Id: s{number}\r\n"), b"");
    }
    if request.path() == "/report" {
        let runs = runs.lock().unwrap();
        let listed: Vec<String> = runs
            .iter()
            .filter(|(_, events)| **events > 0)
            .map(|(id, events)| format!("[\"{id}\",8000,{events},1]"))
            .collect();
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":{},\"kv_used\":{},\
             \"kv_total\":880000,\"handles\":0,\"state\":\"ready\",\"runs\":[{}]}}",
            runs.len(),
            runs.len() * 8000,
            listed.join(",")
        );
        return respond(wire, 200, "Content-Type: application/json\r\n", body.as_bytes());
    }
    let id = request.header("Kumquatpulley-Request-Id").unwrap_or_default().to_owned();
    if runs.lock().unwrap().len() >= SLOTS as usize {
        let headers = format!("Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Not-Run: 1\r\n");
        return respond(wire, 503, &headers, b"");
    }
    let after: u32 = request.header("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
    runs.lock().unwrap().insert(id.clone(), 0);
    say(&format!("reached {id} s{number}"));
    if play.deadly == Deadly::Request && request.body == DEADLY_BODY.as_bytes() {
        thread::sleep(CRASH_DELAY);
        crash(&id, number);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKumquatpulley-Request-Id: {id}\r\n\
         Kumquatpulley-Runner-Seal: seal-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = play.head == HeadTime::FirstEvent || wire.write(head.as_bytes());
    thread::sleep(PREFILL);
    let parts = request.header("Kumquatpulley-Prompt-Prefix").unwrap_or_default();
    if play.deadly == Deadly::Part && parts.contains(DEADLY_PART) {
        if play.is_head_out && wire.write(head.as_bytes()) {
            thread::sleep(CRASH_DELAY);
        }
        crash(&id, number);
    }
    is_open = is_open && (play.head == HeadTime::Admission || wire.write(head.as_bytes()));
    for event in after + 1..=EVENTS {
        let text = format!("id: {event}\ndata: {id} token {event}\n\n");
        is_open = is_open && wire.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        if !is_open {
            break;
        }
        runs.lock().unwrap().insert(id.clone(), event);
        thread::sleep(EVENT_GAP);
    }
    is_open = is_open && wire.write(b"0\r\n\r\n");
    runs.lock().unwrap().remove(&id);
    is_open
}

// ------------------------------------------------------------ the system

/// A request that reached a runner, or the crash of a runner under it.
#[derive(Clone, Debug)]
struct RunnerEvent {
    at: Instant,
    is_crash: bool,
    id: String,
}

type Events = Arc<Mutex<Vec<RunnerEvent>>>;

fn start_runner(number: u8, address: SocketAddr, events: &Events, record: &Record) -> Child {
    let mut child = end_with_parent(&mut Command::new(std::env::current_exe().expect("this program")))
        .args(["runner", &number.to_string(), &address.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a runner's process");
    remember(child.id());
    let out = BufReader::new(child.stdout.take().expect("a pipe"));
    let (events, record) = (Arc::clone(events), record.clone());
    thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            record.line(&line);
            let mut words = line.split(' ');
            let (kind, id) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
            events.lock().unwrap().push(RunnerEvent {
                at: Instant::now(),
                is_crash: kind == "crash",
                id: id.to_owned(),
            });
        }
    });
    child
}

/// A runner of the plain service, which answers checks.
fn start_portal(net: [u8; 3], number: u8) -> SocketAddr {
    let listener = TcpListener::bind((ip_in(net, 220 + number), 9000)).expect("a free port");
    let address = listener.local_addr().unwrap();
    serve(listener, Arc::new(AtomicBool::new(false)), move |stream| {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.read_message() {
            let id = request.header("Kumquatpulley-Request-Id").unwrap_or_default().to_owned();
            thread::sleep(Duration::from_millis(15));
            let headers = format!(
                "Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: seal-{id}\r\n\
                 Kumquatpulley-Runner-Id: p{number}\r\n"
            );
            if !respond(&mut wire, 200, &headers, id.as_bytes()) {
                return;
            }
        }
    });
    address
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
struct Outcome {
    id: String,
    sent: Instant,
    has_begun: bool,
    is_whole: bool,
}

/// Sends a prompt and reads its answer.
fn prompt(address: SocketAddr, id: String, parts: &str, body: &str, record: &Record) -> Outcome {
    let sent = Instant::now();
    let head = format!(
        "POST /quote/1 HTTP/1.1\r\nHost: h.example\r\nKumquatpulley-Request-Id: {id}\r\n\
         Kumquatpulley-Model: m\r\nKumquatpulley-Token-Counts: 8000,120\r\n\
         Kumquatpulley-Prompt-Prefix: {parts}\r\nKumquatpulley-Deadline-Ms: 25000\r\n\
         Authorization: Bearer k\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (mut has_begun, mut is_whole, mut status) = (false, false, 0);
    if let Some(mut wire) = connect(address) {
        let _set = wire.stream.set_read_timeout(Some(Duration::from_secs(18)));
        if wire.write(head.as_bytes()) {
            if let Some(answer) = wire.read_head() {
                status = answer.status();
                has_begun = status == 200;
                let whole = wire.read_body(&answer).unwrap_or_default();
                let last = format!("id: {EVENTS}\n");
                is_whole = has_begun && String::from_utf8_lossy(&whole).contains(&last);
            }
        }
    }
    record.line(&format!(
        "prompt {id} to {} answered {status} whole {is_whole} after {} ms",
        address.ip(),
        sent.elapsed().as_millis()
    ));
    Outcome { id, sent, has_begun, is_whole }
}

fn check(address: SocketAddr, id: String, record: &Record) -> Outcome {
    let sent = Instant::now();
    let text = format!(
        "GET /check/{id} HTTP/1.1\r\nHost: h.example\r\nKumquatpulley-Request-Id: {id}\r\n\
         Kumquatpulley-Deadline-Ms: 1500\r\nAuthorization: Bearer k\r\nConnection: close\r\n\r\n"
    );
    let answer = call(address, text.as_bytes(), Duration::from_millis(2_500));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("check {id} to {} answered {status}", address.ip()));
    Outcome { id, sent, has_begun: status == 200, is_whole: status == 200 }
}

/// Sends requests at a steady rate, each in a thread, until told to stop.
fn send_steadily(
    fronts: &[SocketAddr],
    pause: Duration,
    is_over: &Arc<AtomicBool>,
    send: impl Fn(SocketAddr) -> Outcome + Send + Sync + 'static,
) -> thread::JoinHandle<Vec<Outcome>> {
    let (fronts, is_over, send) = (fronts.to_vec(), Arc::clone(is_over), Arc::new(send));
    thread::spawn(move || {
        let mut sent = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let (front, send) = (fronts[sent.len() % fronts.len()], Arc::clone(&send));
            sent.push(thread::spawn(move || send(front)));
            thread::sleep(pause);
        }
        sent.into_iter().filter_map(|sent| sent.join().ok()).collect()
    })
}

/// What was counted in a run.
#[derive(Debug, Default)]
pub struct Finding {
    pub crashes: usize,
    /// Requests with the deadly part that reached runners later than `contact_ms` after the fifth crash.
    pub late: usize,
    /// Sound prompts in calm time: sent, and begun at the first attempt.
    pub calm: (usize, usize),
    /// Sound prompts from 2 x `contact_ms` after the fifth crash, or the last: sent, and begun.
    pub after: Option<(usize, usize)>,
    /// Sound prompts, on the route that was added, and checks, on the first one: sent, and served whole.
    pub prompts: (usize, usize),
    pub checks: (usize, usize),
    /// The same, of those sent from 2 x `contact_ms` after the last crash on.
    pub steady_prompts: (usize, usize),
    pub steady_checks: (usize, usize),
}

pub fn ratio(counts: (usize, usize)) -> f64 {
    counts.1 as f64 / counts.0.max(1) as f64
}

/// The configuration; the route of prompts is added by a later version than the first.
fn config(version: u32, has_prompts: bool) -> String {
    let quote = "{\"name\":\"quote\",\"host\":\"h.example\",\"prefix\":\"/quote/\",\"kind\":\"stream\",\
        \"timeout_ms\":25000,\"goal_ms\":4500,\"gap_goal_ms\":700,\"priority\":1,\"service\":\"models\",\
        \"attempts\":5,\"can_resume\":true,\"sticky\":true},";
    format!(
        "{{\"version\":{version},\"routes\":[{}\
         {{\"name\":\"check\",\"host\":\"h.example\",\"prefix\":\"/check/\",\"kind\":\"safe\",\"timeout_ms\":800,\
         \"goal_ms\":100,\"priority\":2,\"service\":\"portal\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"models\",\"health_path\":\"/health\",\
         \"engine\":{{\"backups\":false,\"moves\":false}}}},\
         {{\"name\":\"portal\",\"health_path\":\"/health\"}}],\
         \"limits\":{{\"max_header_bytes\":8192,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"t\",\"api_keys\":[\"k\"]}}]}}",
        if has_prompts { quote } else { "" }
    )
}

/// Plays the case; `folder` is that of the record.
pub fn run(folder: &str, play: Play) -> (Finding, Record) {
    limit_run(Duration::from_secs(114));
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let has_trouble = has_trouble();
    let temporary = temporary_folder("crash");
    let net = loopback_net();
    let store = Store::new(net);
    store.put("op", "config", Some(&config(3, false)));
    let events: Events = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for number in 1..=play.runners {
        let address = SocketAddr::new(ip_in(net, 200 + number), 9000);
        let child = start_runner(number, address, &events, &record);
        let zone = format!("z{}", 1 + (number - 1) % play.zones);
        let entry = entry("models", address, &zone, SLOTS, "ready", unix_millis());
        store.put("servers", &format!("s{number}"), Some(&entry));
        runners.push((number, address, zone, Some(child), Instant::now()));
    }
    for number in 1..=PORTALS {
        let address = start_portal(net, number);
        let entry = entry("portal", address, &format!("z{number}"), 6, "ready", unix_millis());
        store.put("servers", &format!("p{number}"), Some(&entry));
    }
    let mut routers = Vec::new();
    for number in 1..=ROUTERS {
        let zone = format!("z{}", 1 + (number - 1) % play.zones);
        let address = store.listen_for(number);
        let options = RouterOptions::default();
        routers.push(start_router(&temporary, net, number, &zone, address, true, &options));
    }
    for router in &routers {
        if !wait_ready(router.ip, Duration::from_secs(15)) {
            println!("a router is not ready; the case could not run");
            finish(NOT_RUN);
        }
    }
    // Starts runners again some time after their crash, under the id that they had.
    let crashing_zone: Arc<Mutex<Option<String>>> = Arc::default();
    let keeper = {
        let crashing_zone = Arc::clone(&crashing_zone);
        let (is_over, events, record, store) =
            (Arc::clone(&is_over), Arc::clone(&events), record.clone(), store.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let crashing = crashing_zone.lock().unwrap().take();
                for (number, _, zone, child, _) in &mut runners {
                    if crashing.as_ref() == Some(zone) {
                        let _killed = child.as_mut().map(Child::kill);
                        record.line(&format!("runner s{number} of zone {zone} crashes"));
                    }
                }
                for (number, address, zone, child, ended) in &mut runners {
                    if child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                        forget(child.take().map_or(0, |child| child.id()));
                        *ended = Instant::now();
                        record.line(&format!("runner s{number} is down"));
                    }
                    if child.is_none() && ended.elapsed() >= play.down {
                        *child = Some(start_runner(*number, *address, &events, &record));
                        let entry = entry("models", *address, zone, SLOTS, "ready", unix_millis());
                        store.put("servers", &format!("s{number}"), Some(&entry));
                        record.line(&format!("runner s{number} is back"));
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    store.put("op", "config", Some(&config(7, true)));
    record.line("a configuration adds the route of prompts");
    thread::sleep(CONFIG_TIME);
    let fronts: Vec<SocketAddr> = routers.iter().map(Router::front).collect();
    let first_part = Arc::new(AtomicU64::new(FIRST_PART));
    let prompts = {
        let (record, first_part) = (record.clone(), Arc::clone(&first_part));
        send_steadily(&fronts, play.pause, &is_over, move |front| {
            let id = request_id("a");
            let parts = format!("{}{id}:1000", play.prefix(first_part.load(Ordering::SeqCst)));
            let body = format!("notes of {id}");
            prompt(front, id, &parts, &body, &record)
        })
    };
    let checks = {
        let record = record.clone();
        send_steadily(&fronts, CHECK_PAUSE, &is_over, move |front| check(front, request_id("c"), &record))
    };
    thread::sleep(CALM);
    let calm_ended = Instant::now();
    if play.deadly == Deadly::Zone {
        first_part.store(CHANGED_PART, Ordering::SeqCst);
        record.say("all prompts begin with another part from now on");
    }
    let mut zone_crashed = None;
    if play.deadly == Deadly::Zone && has_trouble {
        thread::sleep(ZONE_CRASH_DELAY);
        zone_crashed = Some(Instant::now());
        *crashing_zone.lock().unwrap() = Some("z1".to_owned());
        record.say("the runners of zone z1 crash");
    }
    let has_deadly = has_trouble && play.deadly != Deadly::Zone;
    record.say(if has_deadly { "requests that crash runners begin" } else { "no request crashes a runner" });
    let deadly = has_deadly.then(|| {
        let record = record.clone();
        send_steadily(&fronts, DEADLY_PAUSE, &is_over, move |front| {
            let id = request_id("d");
            let (parts, body) = match play.deadly {
                Deadly::Request | Deadly::Zone => {
                    (format!("{}0b1d:1000", play.prefix(FIRST_PART)), DEADLY_BODY.to_owned())
                }
                Deadly::Part => (
                    format!("{}{DEADLY_PART}:200,{id}:1000", play.prefix(FIRST_PART)),
                    format!("notes of {id}"),
                ),
            };
            prompt(front, id, &parts, &body, &record)
        })
    });
    thread::sleep(LOAD);
    let load_ended = Instant::now();
    is_over.store(true, Ordering::SeqCst);
    let prompts = prompts.join().unwrap_or_default();
    let checks = checks.join().unwrap_or_default();
    let _ended = deadly.map(thread::JoinHandle::join);
    let _ended = keeper.join();
    drop(routers);
    if std::env::var("KEEP").is_err() {
        let _removed = std::fs::remove_dir_all(&temporary);
    }
    let events = events.lock().unwrap().clone();
    let finding = count(zone_crashed, &events, &prompts, &checks, calm_ended, load_ended);
    record.say(&format!("crashes of runners: {}", finding.crashes));
    record.say(&format!(
        "sound prompts in calm time: {} sent, {} begun at the first attempt",
        finding.calm.0, finding.calm.1
    ));
    if let Some(after) = finding.after {
        record.say(&format!(
            "sound prompts from 2 x contact_ms after the fifth crash, or the last: {} sent, {} begun at the first attempt",
            after.0, after.1
        ));
    }
    record.say(&format!(
        "served in all: {} of {} sound prompts, {} of {} checks",
        finding.prompts.1, finding.prompts.0, finding.checks.1, finding.checks.0
    ));
    record.say(&format!(
        "served in steady state, from 2 x contact_ms after the last crash: {} of {} sound prompts, {} of {} checks",
        finding.steady_prompts.1, finding.steady_prompts.0, finding.steady_checks.1, finding.steady_checks.0
    ));
    (finding, record)
}

fn count(
    zone_crashed: Option<Instant>,
    events: &[RunnerEvent],
    prompts: &[Outcome],
    checks: &[Outcome],
    calm_ended: Instant,
    load_ended: Instant,
) -> Finding {
    let crashes: Vec<&RunnerEvent> = events.iter().filter(|event| event.is_crash).collect();
    let fifth = crashes.get(4).map(|crash| crash.at);
    let late = fifth.map_or(0, |fifth| {
        let reached = events.iter().filter(|event| !event.is_crash && event.id.starts_with('d'));
        reached.filter(|event| event.at > fifth + CONTACT).count()
    });
    let mut attempts: HashMap<&str, usize> = HashMap::new();
    for event in events.iter().filter(|event| !event.is_crash) {
        *attempts.entry(event.id.as_str()).or_default() += 1;
    }
    let begun = |from: Instant, to: Instant| {
        let sent: Vec<&Outcome> = prompts.iter().filter(|prompt| from <= prompt.sent && prompt.sent < to).collect();
        let is_first = |prompt: &&&Outcome| prompt.has_begun && attempts.get(prompt.id.as_str()) == Some(&1);
        (sent.len(), sent.iter().filter(is_first).count())
    };
    let since = crashes.get(4).or(crashes.last()).map(|crash| crash.at + 2 * CONTACT);
    let last = crashes.last().map(|crash| crash.at).max(zone_crashed);
    let steady = last.map_or(calm_ended, |last| last + 2 * CONTACT);
    let served = |outcomes: &[Outcome], from: Option<Instant>| {
        let sent = || {
            let is_counted = |outcome: &&Outcome| {
                from.is_none_or(|from| from <= outcome.sent && outcome.sent < load_ended)
            };
            outcomes.iter().filter(is_counted)
        };
        (sent().count(), sent().filter(|outcome| outcome.is_whole).count())
    };
    Finding {
        crashes: crashes.len(),
        late,
        // Prompts that were still running when the crashes began are left out.
        calm: begun(calm_ended - CALM, calm_ended - Duration::from_secs(2)),
        after: since.map(|since| begun(since, load_ended)),
        prompts: served(prompts, None),
        checks: served(checks, None),
        steady_prompts: served(prompts, Some(steady)),
        steady_checks: served(checks, Some(steady)),
    }
}
