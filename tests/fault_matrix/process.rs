//! Real processes of a test: started, signalled by id, ended and waited for on drop.

use std::fs;
use std::io::BufRead as _;
use std::io::BufReader;
use std::net;
use std::path;
use std::process;

use async_std::task;
use kumquatpulley::connection::http;

#[path = "../../examples/support/port_claim.rs"]
mod port_claim;

/// Outcome of handling a process.
pub type Result<T> = eyre::Result<T>;

/// A loopback address that no other bench takes while the claim lives.
pub type PortClaim = port_claim::PortClaim;

/// A program of this build.
pub fn program(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_BIN_EXE_kumquatpulleyd")).with_file_name(name)
}

/// One process and how to start it again.
#[derive(Debug)]
pub struct TestProcess {
    program: path::PathBuf,
    arguments: Vec<String>,
    log: path::PathBuf,
    child: Option<process::Child>,
}

impl TestProcess {
    /// Starts `program`; standard error goes into the file `log`.
    pub fn start(
        program: path::PathBuf,
        arguments: Vec<String>,
        log: path::PathBuf,
    ) -> Result<Self> {
        let mut started = Self {
            program,
            arguments,
            log,
            child: None,
        };
        started.restart()?;
        Ok(started)
    }

    /// Ends the process if it runs, and starts it again with the same arguments.
    pub fn restart(&mut self) -> Result<()> {
        self.kill();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = process::Command::new(&self.program)
            .args(&self.arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits for the first line that the process prints.
    pub fn first_line(&mut self) -> Result<String> {
        let child = self.child.as_mut();
        let stdout = child.and_then(|child| child.stdout.take());
        let stdout = stdout.ok_or_else(|| eyre::eyre!("the output was read before"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(line)
    }

    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let status = process::Command::new("kill")
            .args([format!("-{name}"), child.id().to_string()])
            .status()?;
        eyre::ensure!(status.success(), "kill -{name} failed: {status}");
        Ok(())
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends the process without warning.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        // A process that has ended needs no signal; a stopped one dies of this one too.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running stand-in.
#[derive(Debug)]
pub struct StandIn {
    /// Address for its users.
    pub listen: net::SocketAddr,
    /// Address for faults and counts.
    pub admin: net::SocketAddr,
    /// The process.
    pub process: TestProcess,
    _claims: [PortClaim; 2],
}

impl StandIn {
    /// Starts the example `name` and waits until it listens.
    pub fn start(name: &str, log: path::PathBuf, arguments: &[&str]) -> Result<Self> {
        let claims = [PortClaim::take()?, PortClaim::take()?];
        let [listen, admin] = [claims[0].address, claims[1].address];
        let mut all = vec![format!("--listen={listen}"), format!("--admin={admin}")];
        all.extend(arguments.iter().map(|&argument| argument.to_owned()));
        let program = program("examples").join(name);
        let mut started = Self {
            listen,
            admin,
            process: TestProcess::start(program, all, log)?,
            _claims: claims,
        };
        started.wait_ready()?;
        Ok(started)
    }

    /// Ends it and starts it again at the same addresses.
    pub fn restart(&mut self) -> Result<()> {
        self.process.restart()?;
        self.wait_ready()
    }

    fn wait_ready(&mut self) -> Result<()> {
        let line = self.process.first_line()?;
        eyre::ensure!(line.starts_with("ready "), "not ready: {line:?}");
        Ok(())
    }

    /// Brings about a fault.
    pub async fn fault(&self, fault: serde_json::Value) -> Result<()> {
        send_json(http_types::Method::Post, self.admin, "/fault", Some(&fault)).await?;
        Ok(())
    }

    /// Counts and logs.
    pub async fn stats(&self) -> Result<serde_json::Value> {
        get_json(self.admin, "/stats").await
    }
}

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const TRIES: usize = 3;
const TRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Reads JSON, at most [`TRIES`] times.
pub async fn get_json(address: net::SocketAddr, path: &str) -> Result<serde_json::Value> {
    let mut tries = 0;
    loop {
        tries += 1;
        match send_json(http_types::Method::Get, address, path, None).await {
            Err(_error) if tries < TRIES => task::sleep(TRY_PAUSE).await,
            ended => return ended,
        }
    }
}

/// Sends JSON and reads the JSON answer.
pub async fn send_json(
    method: http_types::Method,
    address: net::SocketAddr,
    path: &str,
    body: Option<&serde_json::Value>,
) -> Result<serde_json::Value> {
    let limits = http::ExchangeLimits::default();
    let address = address.to_string();
    let exchange = http::send_json(method, &address, path, body, limits, MAX_BODY_BYTES);
    let (status, bytes) = Box::pin(exchange).await?;
    eyre::ensure!(status == 200, "{address}{path} answers {status}");
    Ok(serde_json::from_slice(&bytes)?)
}
