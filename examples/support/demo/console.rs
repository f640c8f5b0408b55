//! Lines of the demo, with the time since its start.

use std::time;

/// Prints what happens.
#[derive(Clone, Copy, Debug)]
pub struct DemoConsole {
    started: time::Instant,
}

impl DemoConsole {
    /// A console whose clock starts now.
    pub fn new() -> Self {
        Self {
            started: time::Instant::now(),
        }
    }

    /// Prints one line.
    pub fn say(&self, text: &str) {
        println!("[{:6.2} s] {text}", self.started.elapsed().as_secs_f64());
    }
}
