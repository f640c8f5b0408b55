//! Real routers: an accepted configuration is in force at all of them within 5 s and never reverts.

#[expect(dead_code, reason = "these tests use a part of the process helpers")]
#[path = "fault_matrix/process.rs"]
mod process;

use std::fs;
use std::net;
use std::process as std_process;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;

/// Time within which an accepted version is in force everywhere.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Longest time that a test waits for what has no limit of its own.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(20);

const TICK: time::Duration = time::Duration::from_millis(20);

/// Three in each availability zone, of which two poll and one has to be told by the others.
const ROUTERS: usize = 6;

/// Exit code of a lost race.
const EXIT_CONFLICT: i32 = 10;

const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Ports that the tests of this process claimed.
static CLAIMS: parking_lot::Mutex<Vec<process::PortClaim>> = parking_lot::Mutex::new(Vec::new());

fn claim_address() -> net::SocketAddr {
    let claim = process::PortClaim::take().expect("a free port");
    let address = claim.address;
    CLAIMS.lock().push(claim);
    address
}

/// A platform and routers, under a watch that notes each step back.
struct RouterGroup {
    platform: process::StandIn,
    routers: Vec<RouterUnit>,
    reverted: sync::Arc<atomic::AtomicBool>,
    folder: tempfile::TempDir,
    watch: stop_token::StopSource,
}

struct RouterUnit {
    admin: net::SocketAddr,
    process: process::TestProcess,
}

impl RouterGroup {
    /// Starts all processes and waits until version 1 is in force.
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let log = folder.path().join("platform.log");
        let platform = process::StandIn::start("platform", log, &[]).expect("the platform starts");
        let mut group = Self {
            platform,
            routers: Vec::new(),
            reverted: sync::Arc::default(),
            folder,
            watch: stop_token::StopSource::new(),
        };
        let peers: Vec<_> = (0..ROUTERS).map(|_router| claim_address()).collect();
        for index in 0..ROUTERS {
            let router = group.start_router(index, &peers);
            group.routers.push(router);
        }
        assert!(group.apply("v1", &[]).status.success());
        group.time_until(1, WAIT_LIMIT);
        group
    }

    fn start_router(&self, index: usize, peers: &[net::SocketAddr]) -> RouterUnit {
        let admin = claim_address();
        let seeds: Vec<_> = peers.iter().map(ToString::to_string).collect();
        let settings = format!(
            "router: r{index}\nzone: {}\nlisten: {}\npeer_listen: {}\nadmin_listen: {admin}\n\
             platform: {}\nseeds: [{}]\n",
            ZONES[index % ZONES.len()],
            claim_address(),
            peers[index],
            self.platform.listen,
            seeds.join(", "),
        );
        let file = self.folder.path().join(format!("r{index}.yaml"));
        fs::write(&file, settings).expect("the settings are written");
        let arguments = vec!["--config".to_owned(), file.display().to_string()];
        let program = process::program("kumquatpulleyd");
        let log = self.folder.path().join(format!("r{index}.log"));
        let process = process::TestProcess::start(program, arguments, log);
        let reverted = sync::Arc::clone(&self.reverted);
        task::spawn(watch(admin, reverted, self.watch.token()));
        RouterUnit {
            admin,
            process: process.expect("the router starts"),
        }
    }

    fn numbers(&self) -> Vec<Option<u64>> {
        let routers = self.routers.iter();
        let number = |router: &RouterUnit| task::block_on(config_of(router.admin));
        routers.map(number).collect()
    }

    /// Time until all routers have version `number` or a later one in force.
    fn time_until(&self, number: u64, limit: time::Duration) -> time::Duration {
        let start = time::Instant::now();
        loop {
            let numbers = self.numbers();
            if numbers.iter().all(|it| it.is_some_and(|it| it >= number)) {
                return start.elapsed();
            }
            let waited = start.elapsed();
            assert!(
                waited < limit,
                "after {waited:?} not at {number}: {numbers:?}"
            );
            std::thread::sleep(TICK);
        }
    }

    /// The command that applies declarations of one service named `service`.
    fn apply_command(&self, service: &str, more: &[&str]) -> std_process::Command {
        let file = self.folder.path().join(format!("{service}.yaml"));
        let yaml = format!("services:\n  - name: {service}\n");
        fs::write(&file, yaml).expect("the declarations are written");
        let mut command = std_process::Command::new(process::program("kumquatpulley"));
        command
            .arg("apply")
            .arg(file)
            .arg(format!("--platform={}", self.platform.listen))
            .args(more)
            .stdout(std_process::Stdio::null());
        command
    }

    fn apply(&self, service: &str, more: &[&str]) -> std_process::Output {
        let output = self.apply_command(service, more).output();
        output.expect("the command line runs")
    }

    fn fault(&self, fault: serde_json::Value) {
        task::block_on(self.platform.fault(fault)).expect("the fault is brought about");
    }

    fn assert_never_reverted(&self) {
        assert!(
            !self.reverted.load(atomic::Ordering::Relaxed),
            "a router went back"
        );
    }
}

/// Number of the version in force; `None` when the router gives no answer.
async fn config_of(admin: net::SocketAddr) -> Option<u64> {
    let status = process::get_json(admin, "/admin/status").await.ok()?;
    status["config"].as_u64()
}

/// Notes whether a router ever has a lower version than before; a router that starts has none.
async fn watch(
    admin: net::SocketAddr,
    reverted: sync::Arc<atomic::AtomicBool>,
    token: stop_token::StopToken,
) {
    use stop_token::future::FutureExt as _;
    let mut highest = 0;
    while task::sleep(TICK).timeout_at(token.clone()).await.is_ok() {
        let Some(number) = config_of(admin).await.filter(|number| *number > 0) else {
            continue;
        };
        if number < highest {
            reverted.store(true, atomic::Ordering::Relaxed);
        }
        highest = number.max(highest);
    }
}

#[test]
fn each_version_is_in_force_at_all_routers_in_time() {
    let group = RouterGroup::start();
    for number in 2..=6 {
        let output = group.apply(&format!("v{number}"), &[]);
        assert!(output.status.success(), "{output:?}");
        group.time_until(number, IN_FORCE_LIMIT);
    }
    group.assert_never_reverted();
}

#[test]
fn of_two_operators_at_once_one_is_told_that_it_lost() {
    let group = RouterGroup::start();
    let start = |name| group.apply_command(name, &["--base=1"]).spawn();
    let running = ["v2", "v3"].map(|name| start(name).expect("the command line runs"));
    let ended = running.map(|mut child| child.wait().expect("it ends"));
    let mut codes = ended.map(|status| status.code());
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(EXIT_CONFLICT)]);
    group.time_until(2, IN_FORCE_LIMIT);
    std::thread::sleep(time::Duration::from_secs(2));
    assert_eq!(group.numbers(), [Some(2); ROUTERS]);
    group.assert_never_reverted();
}

#[test]
fn an_accepted_version_whose_answer_was_lost_is_in_force_in_time() {
    let group = RouterGroup::start();
    // Leases are renewed meanwhile, so one lost answer might be theirs.
    group.fault(serde_json::json!({"lose_answers": 1_000}));
    let output = group.apply("v2", &[]);
    assert!(output.status.success(), "{output:?}");
    group.fault(serde_json::json!({"lose_answers": 0}));
    group.time_until(2, IN_FORCE_LIMIT);
    std::thread::sleep(time::Duration::from_secs(2));
    assert_eq!(
        group.numbers(),
        [Some(2); ROUTERS],
        "it is one version, not two"
    );
    group.assert_never_reverted();
}

#[test]
fn in_an_outage_the_last_version_stays_in_force_also_at_a_new_router() {
    let mut group = RouterGroup::start();
    assert!(group.apply("v2", &[]).status.success());
    group.time_until(2, IN_FORCE_LIMIT);
    group.fault(serde_json::json!({"down": true}));
    assert!(!group.apply("v3", &[]).status.success());
    group.routers[0]
        .process
        .restart()
        .expect("the router starts again");
    group.time_until(2, WAIT_LIMIT);
    assert_eq!(group.numbers(), [Some(2); ROUTERS]);
    group.fault(serde_json::json!({"down": false}));
    assert!(group.apply("v3", &[]).status.success());
    group.time_until(3, IN_FORCE_LIMIT);
    group.assert_never_reverted();
}

#[test]
fn a_router_that_was_paused_catches_up_in_time_and_never_goes_back() {
    const PAUSE: time::Duration = time::Duration::from_secs(4);
    let group = RouterGroup::start();
    let paused = &group.routers[1].process;
    paused.signal("STOP").expect("the router is paused");
    assert!(group.apply("v2", &[]).status.success());
    assert!(group.apply("v3", &[]).status.success());
    std::thread::sleep(PAUSE);
    paused.signal("CONT").expect("the router goes on");
    group.time_until(3, IN_FORCE_LIMIT);
    group.assert_never_reverted();
}
