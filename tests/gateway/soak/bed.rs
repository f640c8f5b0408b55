//! The processes of one run, the faults that strike them, and what is checked.

use std::collections;
use std::fs;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use rustix::process as unix;

use crate::soak::{clients, disruptions, limit_days, relay, restore_days, stop_days};
use crate::support::{crash_judge, fake_store, fakes, limit_judge, router};

/// Gateways for each of which faults strike as often as in the smallest bed.
const GATEWAYS_A_FAULT: u8 = 6;

const ENDPOINTS: u8 = 4;
const CALLERS: u64 = 6;

/// Callers of a run with planned stops.
const STOP_CALLERS: u64 = 24;

/// Interval between checks whether planned stops are over.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time after an unplanned fault for which it is an excuse.
pub const CONTACT_TIME: time::Duration = limit_judge::CONTACT_TIME;

/// Pause between two faults; some overlap, as each lasts up to [`LONGEST_FAULT`].
const LONGEST_PAUSE: u64 = 900;

/// Longest time of one fault in milliseconds.
const LONGEST_FAULT: u64 = 3_000;

/// Age at which keys end at the gateways' settings, and a margin for the machine that runs this.
const KEY_BOUND: time::Duration = time::Duration::from_millis(4_000 + 250);

/// Time in which all is served again after the last fault.
const RECOVERY: time::Duration = time::Duration::from_secs(12);

/// Time in which a leaving endpoint and a new configuration have to be known on calm gateways.
const KNOWN_BOUND: time::Duration = time::Duration::from_secs(2);

/// Calm time at the end in which the service is measured.
const CALM: time::Duration = time::Duration::from_secs(3);

/// Part of the requests of the calm time that must be served, in percent.
const CALM_SERVED: usize = 98;

/// A fault that ends at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFault {
    Paused(usize),
    Killed(usize),
    EndpointMood(usize),
    EndpointLink(usize),
    StoreLink(usize),
    StoreAway(usize),
}

/// A gateway that was paused, killed or stopped, from then until it runs again.
#[derive(Clone, Copy, Debug)]
struct StoppedTime {
    gateway: usize,
    from: time::Instant,
    /// `None` while it lasts.
    until: Option<time::Instant>,
}

pub struct Bed {
    random: fastrand::Rng,
    folder: tempfile::TempDir,
    net: [u8; 3],
    store: fake_store::FakeStore,
    store_links: Vec<relay::Relay>,
    store_doors: Vec<net::SocketAddr>,
    pub(super) endpoints: Vec<fakes::FakeEndpoint>,
    endpoint_links: Vec<relay::Relay>,
    pub(super) gateways: Vec<Option<router::GatewayProcess>>,
    desk: sync::Arc<clients::CallerDesk>,
    version: u64,
    /// Keys taken away, and when.
    revoked: Vec<(String, time::Instant)>,
    pub(super) open: Vec<(time::Instant, OpenFault)>,
    limits: Option<limit_days::LimitDay>,
    restores: Option<restore_days::RestoreDay>,
    pub(super) stops: Option<stop_days::StopDay>,
    pub(super) unplanned: disruptions::FaultRecord,
    /// Gateways that were stopped, and when they were.
    stopped: Vec<StoppedTime>,
    log: Vec<String>,
    pub(super) started: time::Instant,
}

/// Planned stops of gateways in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedStops {
    None,
    TwoSeries,
}

/// What happens in a run beside the usual faults.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Number of gateways, all in one availability zone.
    pub gateways: u8,
    /// Whether endpoints limit their requests.
    pub has_limits: bool,
    /// Whether some prompts crash the endpoints.
    pub has_crashes: bool,
    /// Whether the store comes back from copies.
    pub has_restores: bool,
    /// Whether gateways get SIGTERM and their whole grace period.
    pub stops: PlannedStops,
}

/// Runs one seed; returns what broke a promise.
pub fn run(seed: u64, faults: time::Duration, plan: SoakPlan) -> Vec<String> {
    let gateways = plan.gateways;
    let mut bed = Bed::start(seed, gateways);
    // Drawn apart from the faults, so that a seed has the same faults with and without limits.
    bed.limits = plan
        .has_limits
        .then(|| limit_days::LimitDay::draw(seed, faults, ENDPOINTS));
    if plan.has_crashes {
        bed.let_prompts_crash();
    }
    bed.restores = plan
        .has_restores
        .then(|| restore_days::RestoreDay::draw(seed, faults));
    let has_stops = plan.stops == PlannedStops::TwoSeries;
    if has_stops {
        let calm = bed.started.elapsed() + KNOWN_BOUND + faults;
        bed.stops = Some(stop_days::StopDay::draw(seed, calm, gateways));
        bed.desk.has_timing.store(true, atomic::Ordering::SeqCst);
    }
    let callers = if has_stops { STOP_CALLERS } else { CALLERS };
    let callers: Vec<thread::JoinHandle<()>> = (0..callers)
        .map(|number| {
            let ips = (1..=gateways).map(|gateway| bed.ip(gateway)).collect();
            clients::spawn(&bed.desk, ips, format!("c{number}"), seed + number)
        })
        .collect();
    bed.rest(KNOWN_BOUND);
    let until = time::Instant::now() + faults;
    while time::Instant::now() < until {
        for _fault in 0..gateways.div_ceil(GATEWAYS_A_FAULT) {
            bed.strike();
        }
        bed.end_faults(false);
        bed.set_limits();
        bed.restore_store();
        let pause = bed.random.u64(50..LONGEST_PAUSE);
        bed.rest(time::Duration::from_millis(pause));
    }
    bed.end_faults(true);
    bed.end_limits();
    bed.rest(RECOVERY);
    while bed.stops.as_ref().is_some_and(|day| !day.is_over()) {
        bed.rest(POLL_INTERVAL);
    }
    let calm = time::Instant::now();
    let left = bed.leave_endpoint();
    thread::sleep(KNOWN_BOUND + CALM);
    bed.desk.is_over.store(true, atomic::Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller does not panic");
    }
    let mut findings = bed.check(calm, left);
    if !findings.is_empty() {
        findings.extend(std::mem::take(&mut bed.log));
        findings.push(bed.keep_logs(seed));
    }
    findings
}

impl Bed {
    fn start(seed: u64, gateways: u8) -> Self {
        let net = router::loopback_net();
        let ip = |last: u8| net::IpAddr::from([net[0], net[1], net[2], last]);
        let store = fake_store::FakeStore::new(ip(250));
        let endpoints: Vec<fakes::FakeEndpoint> = (0..ENDPOINTS)
            .map(|number| fakes::FakeEndpoint::start(ip(240 + number), &format!("e{number}")))
            .collect();
        let endpoint_links = endpoints
            .iter()
            .map(|endpoint| relay::Relay::start(ip(230), endpoint.address));
        let store_doors: Vec<net::SocketAddr> =
            (0..gateways).map(|_door| store.open_listener()).collect();
        let store_links = store_doors
            .iter()
            .map(|door| relay::Relay::start(ip(231), *door));
        let mut bed = Self {
            random: fastrand::Rng::with_seed(seed),
            folder: tempfile::tempdir().expect("a folder"),
            net,
            endpoint_links: endpoint_links.collect(),
            store_links: store_links.collect(),
            store_doors,
            store,
            endpoints,
            gateways: Vec::new(),
            desk: sync::Arc::default(),
            version: 0,
            revoked: Vec::new(),
            open: Vec::new(),
            limits: None,
            restores: None,
            stops: None,
            unplanned: disruptions::FaultRecord::default(),
            stopped: Vec::new(),
            log: Vec::new(),
            started: time::Instant::now(),
        };
        bed.put_config();
        for index in 0..bed.endpoints.len() {
            bed.put_entry(index, "ready");
        }
        for index in 0..usize::from(gateways) {
            let gateway = bed.spawn(index, router::StartKind::First);
            bed.gateways.push(Some(gateway));
        }
        bed.unplanned.add_moment(time::Instant::now());
        bed
    }

    fn ip(&self, last: u8) -> net::IpAddr {
        net::IpAddr::from([self.net[0], self.net[1], self.net[2], last])
    }

    pub(super) fn spawn(&self, index: usize, kind: router::StartKind) -> router::GatewayProcess {
        let number = u8::try_from(index + 1).expect("few gateways");
        let door = self.store_links[index].address;
        let start = router::GatewayStart::new(kind);
        router::spawn(self.folder.path(), self.net, number, door, start)
    }

    fn put_entry(&self, index: usize, state: &str) {
        let entry = self.entry(index, state);
        self.store
            .put("servers", &self.endpoints[index].name, &entry);
    }

    fn entry(&self, index: usize, state: &str) -> Vec<u8> {
        let zone = if index.is_multiple_of(2) { "z1" } else { "z2" };
        let address = self.endpoint_links[index].address;
        fakes::FakeEndpoint::entry_at(address, "m", zone, state)
    }

    /// Writes a new version; the key of the version before ends with it.
    fn put_config(&mut self) {
        self.version += 1;
        let config = self.config();
        self.store.put("op", "config", config.as_bytes());
        let mut held = self.desk.key.lock().expect("not poisoned");
        let old = std::mem::replace(&mut *held, self.key());
        drop(held);
        self.revoked.push((old, time::Instant::now()));
    }

    /// Key of the newest version.
    fn key(&self) -> String {
        format!("k{}", self.version)
    }

    /// The newest version.
    fn config(&self) -> String {
        let key = self.key();
        let route = |path: &str, kind: &str, attempts: u32| {
            serde_json::json!({"name": path, "host": "h", "prefix": path, "kind": kind,
                "timeout_ms": 3_500, "goal_ms": 1_000, "service": "m", "attempts": attempts,
                "can_resume": kind == "stream", "gap_goal_ms": 700})
        };
        let config = serde_json::json!({
            "version": self.version,
            "routes": [route("/once/", "unsafe", 1), route("/safe/", "safe", 2),
                route("/stream/", "stream", 4)],
            "services": [{"name": "m", "health_path": "/health", "engine": {"backups": true, "moves": true}}],
            "tenants": [{"name": "w", "api_keys": [key]}],
        });
        config.to_string()
    }

    /// Begins one fault or change.
    fn strike(&mut self) {
        let ends =
            time::Instant::now() + time::Duration::from_millis(self.random.u64(100..LONGEST_FAULT));
        let gateway = self.random.usize(..self.gateways.len());
        let endpoint = self.random.usize(..self.endpoints.len());
        let fault = match self.random.u32(..11) {
            0 => {
                self.signal(gateway, unix::Signal::STOP);
                Some(OpenFault::Paused(gateway))
            }
            1 => {
                self.gateways[gateway] = None;
                Some(OpenFault::Killed(gateway))
            }
            2 => {
                self.signal(gateway, unix::Signal::TERM);
                Some(OpenFault::Killed(gateway))
            }
            3 => {
                self.signal(gateway, unix::Signal::HUP);
                None
            }
            4 | 5 => {
                let mood = self.any_mood();
                self.endpoints[endpoint].set_mode(mood);
                self.note(&format!("endpoint {endpoint} is {mood:?}"));
                Some(OpenFault::EndpointMood(endpoint))
            }
            6 => {
                let mode = relay::RelayMode::any_fault(&mut self.random);
                self.endpoint_links[endpoint].set(mode);
                self.note(&format!("link of endpoint {endpoint} is {mode:?}"));
                Some(OpenFault::EndpointLink(endpoint))
            }
            7 => {
                let mode = relay::RelayMode::any_fault(&mut self.random);
                self.store_links[gateway].set(mode);
                self.note(&format!(
                    "link of gateway {gateway} to the store is {mode:?}"
                ));
                Some(OpenFault::StoreLink(gateway))
            }
            8 => {
                self.store.set_unavailable(self.store_doors[gateway], true);
                self.note(&format!("gateway {gateway} is turned away by the store"));
                Some(OpenFault::StoreAway(gateway))
            }
            9 => {
                self.put_config();
                self.note("a new version");
                None
            }
            _ => {
                self.store.drop_history();
                self.note("the store forgets its history");
                None
            }
        };
        if let Some(OpenFault::Paused(gateway) | OpenFault::Killed(gateway)) = fault {
            self.begin_stopped(gateway);
        }
        if let Some(OpenFault::Killed(gateway)) = fault
            && let Some(day) = &mut self.stops
        {
            // The gateway ends before its grace period is over, so this is no planned stop.
            day.open.retain(|stop| stop.gateway != gateway);
        }
        if let Some(fault) = fault {
            let struck = match fault {
                OpenFault::Paused(gateway)
                | OpenFault::Killed(gateway)
                | OpenFault::StoreLink(gateway)
                | OpenFault::StoreAway(gateway) => Some(self.gateway_ip(gateway)),
                OpenFault::EndpointMood(_) | OpenFault::EndpointLink(_) => None,
            };
            self.unplanned.begin(fault, struck);
            self.note(&format!("begins: {fault:?}"));
            self.open.push((ends, fault));
        }
    }

    fn any_mood(&mut self) -> fakes::EndpointMode {
        let after = self.random.u64(1..fakes::EVENT_COUNT);
        [
            fakes::EndpointMode::Full,
            fakes::EndpointMode::Replaced,
            fakes::EndpointMode::DropsAnswer,
            fakes::EndpointMode::Truncates,
            fakes::EndpointMode::AnswersWrongRequest,
            fakes::EndpointMode::DiesAfter(after),
            fakes::EndpointMode::SilentAfter(after),
        ][self.random.usize(..7)]
    }

    pub(super) fn signal(&mut self, index: usize, signal: unix::Signal) {
        if let Some(gateway) = &self.gateways[index] {
            router::signal(gateway, signal);
        }
        self.note(&format!("gateway {index} gets {signal:?}"));
    }

    /// Ends the faults whose time is over, or all of them.
    fn end_faults(&mut self, all: bool) {
        let now = time::Instant::now();
        let is_due = |ends: &time::Instant| all || *ends <= now;
        let open = std::mem::take(&mut self.open);
        let (due, open) = open.into_iter().partition(|(ends, _fault)| is_due(ends));
        self.open = open;
        let due: Vec<(time::Instant, OpenFault)> = due;
        for (_ends, fault) in due {
            self.note(&format!("ends: {fault:?}"));
            if let OpenFault::Paused(gateway) | OpenFault::Killed(gateway) = fault {
                self.end_stopped(gateway);
            }
            match fault {
                OpenFault::Paused(index) => self.signal(index, unix::Signal::CONT),
                OpenFault::Killed(index) => {
                    // Dropping the old process first frees its addresses.
                    self.gateways[index] = None;
                    self.gateways[index] = Some(self.spawn(index, router::StartKind::Later));
                    if let Some(day) = &mut self.stops {
                        day.record_start(index);
                    }
                }
                OpenFault::EndpointMood(index) => {
                    self.endpoints[index].set_mode(fakes::EndpointMode::Healthy);
                    self.endpoints[index].revive();
                }
                OpenFault::EndpointLink(index) => {
                    self.endpoint_links[index].set(relay::RelayMode::Pass);
                }
                OpenFault::StoreLink(index) => self.store_links[index].set(relay::RelayMode::Pass),
                OpenFault::StoreAway(index) => {
                    self.store.set_unavailable(self.store_doors[index], false);
                }
            }
            self.unplanned.end(fault);
        }
    }

    pub(super) fn begin_stopped(&mut self, gateway: usize) {
        self.stopped.push(StoppedTime {
            gateway,
            from: time::Instant::now(),
            until: None,
        });
    }

    pub(super) fn end_stopped(&mut self, gateway: usize) {
        let stopped = self.stopped.iter_mut();
        let mut open = stopped.filter(|stop| stop.gateway == gateway);
        if let Some(stop) = open.find(|stop| stop.until.is_none()) {
            stop.until = Some(time::Instant::now());
        }
    }

    pub(super) fn gateway_ip(&self, index: usize) -> net::IpAddr {
        self.ip(u8::try_from(index + 1).expect("few gateways"))
    }

    /// Lets endpoints name the limits that are due.
    fn set_limits(&mut self) {
        let elapsed = self.started.elapsed();
        let due = self.limits.as_mut().map(|day| day.take_due(elapsed));
        for change in due.into_iter().flatten() {
            self.endpoints[change.endpoint].set_limit(change.rate);
            let (endpoint, rate) = (change.endpoint, change.rate);
            self.note(&format!("endpoint {endpoint} names the limit {rate:?}"));
        }
    }

    /// Copies the store, or brings it back from its copy, when that is due. What operators and
    /// endpoints wrote since the copy is written again in the same moment.
    fn restore_store(&mut self) {
        let elapsed = self.started.elapsed();
        let Some(step) = self.restores.as_mut().and_then(|day| day.take_due(elapsed)) else {
            return;
        };
        let restore_days::RestoreStep::Restore { copy, is_unnoticed } = step else {
            let copy = self.store.copy();
            if let Some(day) = &mut self.restores {
                day.keep(copy);
            }
            return;
        };
        let config = self.config();
        let mut changes = vec![("op", "config".to_owned(), config.into_bytes())];
        for index in 0..self.endpoints.len() {
            let name = self.endpoints[index].name.clone();
            changes.push(("servers", name, self.entry(index, "ready")));
        }
        let changes: Vec<(&str, &str, &[u8])> = changes
            .iter()
            .map(|(table, key, value)| (*table, key.as_str(), value.as_slice()))
            .collect();
        let is_unnoticed = if is_unnoticed {
            self.store.restore_unnoticed("op", &copy, &changes)
        } else {
            self.store.restore(&copy, &changes);
            false
        };
        self.unplanned.add_moment(time::Instant::now());
        self.note(&format!(
            "the store comes back from a copy, unnoticed {is_unnoticed}"
        ));
    }

    fn end_limits(&mut self) {
        for endpoint in self
            .endpoints
            .iter()
            .filter(|_endpoint| self.limits.is_some())
        {
            endpoint.set_limit(None);
        }
        self.limits = None;
    }

    /// Lets a part of some prompts crash the endpoints from now on.
    fn let_prompts_crash(&mut self) {
        for endpoint in &self.endpoints {
            endpoint.set_deadly_part(Some(crash_judge::DEADLY_PART));
        }
        self.desk
            .sends_prompts
            .store(true, atomic::Ordering::SeqCst);
        self.note("a part of some prompts crashes endpoints");
    }

    /// Whether a gateway was stopped at `at` or shortly before.
    fn was_stopped(&self, ip: net::IpAddr, at: time::Instant) -> bool {
        self.stopped.iter().any(|stop| {
            let number = u8::try_from(stop.gateway + 1).expect("few gateways");
            let is_over = stop
                .until
                .is_some_and(|until| until + limit_judge::CONTACT_TIME < at);
            self.ip(number) == ip && stop.from <= at && !is_over
        })
    }

    /// Limits that were exceeded, and prompts that crashed endpoints for too long, counted at the
    /// endpoints.
    fn find_excesses(&self, records: &[clients::CallRecord]) -> Vec<String> {
        let view = |record: &clients::CallRecord| {
            Some(limit_judge::CallerView {
                id: record.id.clone(),
                gateway: record.gateway?.ip(),
                answered: record.status.map(|_status| record.ended),
            })
        };
        let views: Vec<limit_judge::CallerView> = records.iter().filter_map(view).collect();
        let is_excused = |ip, at| self.was_stopped(ip, at);
        let endpoints = self.endpoints.iter();
        let findings =
            endpoints.map(|endpoint| limit_judge::find_excesses(endpoint, &views, is_excused));
        let mut findings: Vec<String> = findings.flatten().collect();
        let deadly = records.iter().filter(|record| record.is_deadly());
        let deadly: Vec<limit_judge::CallerView> = deadly.filter_map(view).collect();
        let endpoints: Vec<&fakes::FakeEndpoint> = self.endpoints.iter().collect();
        findings.extend(crash_judge::find_late_sends(
            &endpoints, &deadly, is_excused,
        ));
        findings
    }

    /// Lets one endpoint leave; returns it and when the bound begins to hold.
    fn leave_endpoint(&mut self) -> (usize, time::Instant) {
        let index = self.random.usize(..self.endpoints.len());
        self.put_entry(index, "draining");
        self.note(&format!("endpoint {index} leaves"));
        (index, time::Instant::now() + KNOWN_BOUND)
    }

    pub(super) fn note(&mut self, text: &str) {
        let at = self.started.elapsed().as_millis();
        self.log.push(format!("{at:>6} ms {text}"));
    }

    fn check(&self, calm: time::Instant, left: (usize, time::Instant)) -> Vec<String> {
        let records = self.desk.records.lock().expect("not poisoned");
        let mut runs: collections::HashMap<String, Vec<time::Instant>> =
            collections::HashMap::new();
        for endpoint in &self.endpoints {
            for seen in endpoint
                .received()
                .into_iter()
                .filter(|seen| seen.is_started)
            {
                let id = seen.field("Kumquatpulley-Request-Id").unwrap_or_default();
                runs.entry(id).or_default().push(seen.at);
            }
        }
        let mut findings = Vec::new();
        for record in records.iter() {
            let ran = runs.get(&record.id).map_or(0, Vec::len);
            let what = format!(
                "{} {} sent {:?}",
                record.id,
                record.path,
                self.at(record.sent)
            );
            if let Some(fault) = &record.fault {
                findings.push(format!("{what}: {fault}"));
            }
            if record.path.starts_with("/once/") && ran > 1 {
                findings.push(format!("{what}: ran {ran} times"));
            }
            if matches!(record.status, Some(408 | 421 | 429 | 503)) && ran > 0 {
                let is_once = record.path.starts_with("/once/");
                if is_once {
                    findings.push(format!("{what}: refused as not run, and ran"));
                }
            }
            let revoked = self.revoked.iter().find(|(key, _at)| *key == record.key);
            if revoked.is_some_and(|(_key, at)| record.sent > *at + KEY_BOUND) && ran > 0 {
                findings.push(format!("{what}: ran with a key that was taken away"));
            }
        }
        findings.extend(self.find_excesses(&records));
        findings.extend(self.find_lost(&records));
        let (endpoint, known) = left;
        let late = self.endpoints[endpoint]
            .received()
            .into_iter()
            .filter(|seen| seen.at > known);
        let late = late.count();
        if late > 0 {
            findings.push(format!(
                "{late} requests reached endpoint {endpoint} after it had left"
            ));
        }
        let counts = |record: &&clients::CallRecord| record.sent > calm && !record.is_deadly();
        let in_calm = records.iter().filter(counts);
        let (all, served) = in_calm.fold((0, 0), |(all, served), record| {
            (all + 1, served + usize::from(record.is_served))
        });
        if all == 0 || served * 100 < all * CALM_SERVED {
            findings.push(format!(
                "in the calm time {served} of {all} requests were served"
            ));
            let unserved = records
                .iter()
                .filter(|record| counts(record) && !record.is_served);
            findings.extend(unserved.map(|record| {
                let (at, status, gateway) = (self.at(record.sent), record.status, record.gateway);
                format!(
                    "  {} {} at {at:?}: {status:?} from {gateway:?}",
                    record.id, record.path
                )
            }));
        }
        findings
    }

    fn at(&self, at: time::Instant) -> time::Duration {
        at.duration_since(self.started)
    }

    /// Keeps the gateways' logs of a run that failed; returns where.
    fn keep_logs(&self, seed: u64) -> String {
        let folder = std::env::temp_dir().join(format!("kumquatpulley-soak-{seed}"));
        let copied = fs::create_dir_all(&folder).and_then(|()| {
            for file in fs::read_dir(self.folder.path())? {
                let file = file?;
                fs::copy(file.path(), folder.join(file.file_name()))?;
            }
            Ok(())
        });
        match copied {
            Ok(()) => format!("logs are in {}", folder.display()),
            Err(error) => format!("logs cannot be kept: {error}"),
        }
    }
}
