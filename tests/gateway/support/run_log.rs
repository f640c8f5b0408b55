//! What an endpoint saw of each request, and when its work on it began and ended.

use std::sync;
use std::time;

use crate::support::stop_judge;

/// The requests that one endpoint read, in order of arrival.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: sync::Mutex<Vec<stop_judge::EndpointRun>>,
}

impl RunLog {
    /// Adds a request that was read now; returns its index.
    pub fn add(&self, id: &str) -> usize {
        let mut runs = self.runs.lock().expect("not poisoned");
        runs.push(stop_judge::EndpointRun {
            id: id.to_owned(),
            read: time::Instant::now(),
            begun: None,
            end: None,
        });
        runs.len() - 1
    }

    /// Records that work on a request begins now.
    pub fn begin(&self, index: usize) {
        let mut runs = self.runs.lock().expect("not poisoned");
        runs[index].begun = Some(time::Instant::now());
    }

    /// Records how a request ended now.
    pub fn end(&self, index: usize, end: stop_judge::RunEnd) {
        let mut runs = self.runs.lock().expect("not poisoned");
        runs[index].end = Some((time::Instant::now(), end));
    }

    pub fn runs(&self) -> Vec<stop_judge::EndpointRun> {
        self.runs.lock().expect("not poisoned").clone()
    }
}
