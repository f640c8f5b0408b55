//! Processor time and memory of the router that this process started.

use std::fs;
use std::process;

/// Outcome of reading the process table.
pub type Result<T> = eyre::Result<T>;

const ROUTER_NAME: &str = "(kumquatpulleyd)";

/// Clock ticks a second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

const KIB: u64 = 1_024;

/// The only router among the children of this process.
#[derive(Clone, Copy, Debug)]
pub struct RouterProcess {
    id: u32,
}

impl RouterProcess {
    /// Finds the router.
    pub fn find() -> Result<Self> {
        let own = process::id().to_string();
        for entry in fs::read_dir("/proc")? {
            let name = entry?.file_name();
            let Some(id) = name.to_str().and_then(|name| name.parse().ok()) else {
                continue;
            };
            // A process that has ended meanwhile is none of ours.
            let Ok(stat) = fs::read_to_string(format!("/proc/{id}/stat")) else {
                continue;
            };
            let parent = fields(&stat).nth(1);
            if stat.contains(ROUTER_NAME) && parent == Some(own.as_str()) {
                return Ok(Self { id });
            }
        }
        Err(eyre::eyre!("no router was started"))
    }

    /// Processor time so far, in user and kernel mode, in seconds.
    pub fn cpu_seconds(self) -> Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id))?;
        // User and kernel time are the 12th and 13th field after the name.
        let ticks: u32 = fields(&stat)
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u32>().ok())
            .sum();
        Ok(f64::from(ticks) / TICKS_PER_SECOND)
    }

    /// Resident memory, in bytes.
    pub fn memory(self) -> Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1));
        let kib = kib.and_then(|kib| kib.parse::<u64>().ok());
        Ok(kib.ok_or_else(|| eyre::eyre!("the router has ended"))? * KIB)
    }
}

/// Fields after the process name, beginning with the state.
fn fields(stat: &str) -> impl Iterator<Item = &str> {
    let rest = stat.rsplit_once(')').map_or("", |(_name, rest)| rest);
    rest.split_whitespace()
}
