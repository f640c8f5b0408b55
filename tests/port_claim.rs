//! A port reserved for a test can be bound immediately.

use std::net;
use std::process;
use std::sync::atomic;
use std::thread;

#[path = "../examples/support/port_claim.rs"]
mod port_claim;

const CLAIMS: u32 = 3_000;
const STARTERS: usize = 4;

/// Guards against a failure seen in CI under load: a test server could not bind its claimed port,
/// because a process that another thread was starting still had the socket that probed the port.
#[test]
fn a_claimed_port_is_free_while_other_threads_start_processes() {
    let is_done = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for _starter in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(atomic::Ordering::Relaxed) {
                    let child = process::Command::new(env!("CARGO_BIN_EXE_kumquatpulley"))
                        .arg("--version")
                        .stdout(process::Stdio::null())
                        .status();
                    child.expect("a process");
                }
            });
        }
        let failed = (0..CLAIMS).filter_map(|_claim| {
            let claim = port_claim::PortClaim::take().expect("a free port");
            net::TcpListener::bind(claim.address).err()
        });
        let failed: Vec<std::io::Error> = failed.collect();
        is_done.store(true, atomic::Ordering::Relaxed);
        assert!(
            failed.is_empty(),
            "{} failed: {:?}",
            failed.len(),
            failed[0]
        );
    });
}
