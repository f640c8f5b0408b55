//! Memory and descriptors of a process, read from `/proc`.

use std::fs;

/// Watches one process from its start on.
#[derive(Debug)]
pub struct UsageWatch {
    process: u32,
    first_bytes: usize,
    first_descriptors: usize,
    most_descriptors: usize,
}

impl UsageWatch {
    /// Takes the present memory and descriptors as the base, and resets the peak.
    pub fn start(process: u32) -> Self {
        const RESET_PEAK: &str = "5";
        fs::write(format!("/proc/{process}/clear_refs"), RESET_PEAK).expect("an own child");
        let descriptors = descriptors(process);
        Self {
            process,
            first_bytes: memory(process, "VmRSS:"),
            first_descriptors: descriptors,
            most_descriptors: descriptors,
        }
    }

    /// Counts the descriptors now; the kernel keeps the peak of the memory itself.
    pub fn sample(&mut self) {
        self.most_descriptors = self.most_descriptors.max(descriptors(self.process));
    }

    /// Peak of the memory, beyond that at the start.
    pub fn grown_bytes(&self) -> usize {
        memory(self.process, "VmHWM:").saturating_sub(self.first_bytes)
    }

    /// Most descriptors in any sample, beyond those at the start.
    pub fn most_descriptors(&self) -> usize {
        self.most_descriptors - self.first_descriptors
    }
}

fn descriptors(process: u32) -> usize {
    let folder = fs::read_dir(format!("/proc/{process}/fd"));
    folder.map_or(0, Iterator::count)
}

fn memory(process: u32, field: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with(field));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: usize = number.and_then(|text| text.parse().ok()).expect("KB");
    kilobytes * 1024
}
