//! Processes of the demo; each is ended by its id, also on failure and on a signal.

use std::fs;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use signal_hook::consts;
use signal_hook::iterator;

/// Outcome of starting processes.
pub type Result<T> = eyre::Result<T>;

/// Exit code after a signal.
const INTERRUPTED: i32 = 130;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Addresses on which a stand-in serves.
#[derive(Clone, Copy, Debug)]
pub struct StandInAddress {
    /// For routers.
    pub listen: net::SocketAddr,
    /// For faults and counts.
    pub admin: net::SocketAddr,
}

/// One process.
#[derive(Debug)]
struct DemoChild {
    name: String,
    process: process::Child,
}

/// The processes, shared with the thread that waits for signals.
#[derive(Debug)]
pub struct ChildGroup {
    folder: path::PathBuf,
    children: sync::Arc<parking_lot::Mutex<Vec<DemoChild>>>,
}

impl ChildGroup {
    /// An empty group whose processes log into `folder`; a signal ends them all.
    ///
    /// # Errors
    /// Fails when signals cannot be caught.
    pub fn new(folder: &path::Path) -> Result<Self> {
        let children: sync::Arc<parking_lot::Mutex<Vec<DemoChild>>> = sync::Arc::default();
        let shared = sync::Arc::clone(&children);
        let mut signals =
            iterator::Signals::new([consts::SIGINT, consts::SIGTERM, consts::SIGHUP])?;
        thread::spawn(move || {
            if signals.forever().next().is_some() {
                end_all(&shared);
                process::exit(INTERRUPTED);
            }
        });
        Ok(Self {
            folder: folder.to_owned(),
            children,
        })
    }

    /// Starts a program of this build; its log goes to `<folder>/<name>.log`.
    ///
    /// # Errors
    /// Fails when the program cannot be started.
    pub fn start(&self, name: &str, program: &path::Path, arguments: &[&str]) -> Result<()> {
        let mut command = self.command(name, program, arguments)?;
        self.keep(name, command.stdout(process::Stdio::null()).spawn()?);
        Ok(())
    }

    /// Starts a stand-in and waits until it says where it serves.
    ///
    /// # Errors
    /// Fails when it ends before it serves.
    pub fn start_stand_in(
        &self,
        name: &str,
        program: &path::Path,
        arguments: &[&str],
    ) -> Result<StandInAddress> {
        let mut command = self.command(name, program, arguments)?;
        let mut child = command.stdout(process::Stdio::piped()).spawn()?;
        let stdout = child.stdout.take();
        self.keep(name, child);
        let stdout = stdout.ok_or_else(|| eyre::eyre!("{name} has no output"))?;
        let mut line = String::new();
        io::BufReader::new(stdout).read_line(&mut line)?;
        parse_ready(&line).ok_or_else(|| eyre::eyre!("{name} did not start; see its log"))
    }

    /// Runs a program to its end and returns what it printed.
    ///
    /// # Errors
    /// Fails with its output when it does not end with success.
    pub fn run(&self, name: &str, program: &path::Path, arguments: &[&str]) -> Result<String> {
        let file = self.folder.join(format!("{name}.out"));
        let mut command = self.command(name, program, arguments)?;
        self.keep(name, command.stdout(fs::File::create(&file)?).spawn()?);
        let status = loop {
            if let Some(status) = self.status(name)? {
                break status;
            }
            thread::sleep(POLL_INTERVAL);
        };
        let printed = fs::read_to_string(&file)?;
        if status.success() {
            return Ok(printed.trim().to_owned());
        }
        let log = fs::read_to_string(self.folder.join(format!("{name}.log")))?;
        Err(eyre::eyre!("{name} failed: {printed}{log}"))
    }

    fn status(&self, name: &str) -> Result<Option<process::ExitStatus>> {
        let mut children = self.children.lock();
        let child = find(&mut children, name)?;
        Ok(child.process.try_wait()?)
    }

    fn command(
        &self,
        name: &str,
        program: &path::Path,
        arguments: &[&str],
    ) -> Result<process::Command> {
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let mut command = process::Command::new(program);
        command
            .args(arguments)
            .stdin(process::Stdio::null())
            .stderr(log);
        Ok(command)
    }

    fn keep(&self, name: &str, process: process::Child) {
        let name = name.to_owned();
        self.children.lock().push(DemoChild { name, process });
    }

    /// Kills the named process without warning.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn kill(&self, name: &str) -> Result<()> {
        let mut children = self.children.lock();
        let child = find(&mut children, name)?;
        child.process.kill()?;
        child.process.wait()?;
        Ok(())
    }
}

impl Drop for ChildGroup {
    fn drop(&mut self) {
        end_all(&self.children);
    }
}

fn find<'a>(children: &'a mut [DemoChild], name: &str) -> Result<&'a mut DemoChild> {
    let child = children.iter_mut().find(|child| child.name == name);
    child.ok_or_else(|| eyre::eyre!("there is no process {name}"))
}

fn end_all(children: &parking_lot::Mutex<Vec<DemoChild>>) {
    for child in children.lock().iter_mut() {
        // A process that has ended already needs no signal.
        let _ended = child.process.kill();
        let _status = child.process.wait();
    }
}

fn parse_ready(line: &str) -> Option<StandInAddress> {
    let mut words = line.split_whitespace();
    if words.next() != Some("ready") {
        return None;
    }
    Some(StandInAddress {
        listen: words.next()?.parse().ok()?,
        admin: words.next()?.parse().ok()?,
    })
}
