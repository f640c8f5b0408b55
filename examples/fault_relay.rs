//! TCP relay between two processes that cuts, silences or delays what passes.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net as async_net;
use async_std::task;
use futures::future;
use stop_token::future::FutureExt as _;

use crate::support::server;

mod support {
    pub mod server;
}

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Interval at which a held connection looks at its state.
const HOLD_TICK: time::Duration = time::Duration::from_millis(10);

/// Limit for connecting to the far end.
const CONNECT_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Directions in which bytes pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
enum Direction {
    /// From the one that connected, and back.
    #[default]
    Both,
    /// From the one that connected.
    Forward,
    /// Back to the one that connected.
    Backward,
}

impl Direction {
    fn covers(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// Connections that a fault reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
enum Reach {
    /// Those that are open now.
    #[default]
    Existing,
    /// Those that are open now and those to come.
    All,
}

/// What to do to the connections.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, tag = "fault")]
enum RelayFault {
    /// Resets connections; with reach `all` also those to come, until restored.
    Cut {
        #[serde(default)]
        reach: Reach,
    },
    /// Keeps connections open and passes nothing.
    ///
    /// Reach `existing` is for good, as when a device between both ends lost track of the
    /// connections; reach `all` ends when restored, as a partition does.
    Silence {
        #[serde(default)]
        reach: Reach,
        #[serde(default)]
        direction: Direction,
    },
    /// Holds each piece for a time.
    Delay { millis: u64 },
    /// Ends the faults that do not last for good.
    Restore,
}

/// State of the relay that connections look at.
#[derive(Debug, Default)]
struct RelayState {
    cuts_new: atomic::AtomicBool,
    delay_ms: atomic::AtomicU64,
    partition: parking_lot::Mutex<Option<Direction>>,
    links: parking_lot::Mutex<Vec<sync::Arc<RelayLink>>>,
    opened: atomic::AtomicU64,
    bytes: atomic::AtomicU64,
}

/// One connection through the relay.
#[derive(Debug)]
struct RelayLink {
    silence: parking_lot::Mutex<Option<Direction>>,
    stop: parking_lot::Mutex<Option<stop_token::StopSource>>,
}

impl RelayState {
    fn is_silent(&self, link: &RelayLink, direction: Direction) -> bool {
        let partition = *self.partition.lock();
        let silence = *link.silence.lock();
        [partition, silence]
            .into_iter()
            .flatten()
            .any(|silence| silence.covers(direction))
    }

    fn bring_about(&self, fault: RelayFault) {
        match fault {
            RelayFault::Cut { reach } => {
                let is_all = reach == Reach::All;
                self.cuts_new.store(is_all, atomic::Ordering::SeqCst);
                for link in self.links.lock().drain(..) {
                    link.stop.lock().take();
                }
            }
            RelayFault::Silence {
                reach: Reach::All,
                direction,
            } => *self.partition.lock() = Some(direction),
            RelayFault::Silence {
                reach: Reach::Existing,
                direction,
            } => {
                for link in self.links.lock().iter() {
                    *link.silence.lock() = Some(direction);
                }
            }
            RelayFault::Delay { millis } => {
                self.delay_ms.store(millis, atomic::Ordering::SeqCst);
            }
            RelayFault::Restore => {
                self.cuts_new.store(false, atomic::Ordering::SeqCst);
                self.delay_ms.store(0, atomic::Ordering::SeqCst);
                *self.partition.lock() = None;
            }
        }
    }

    /// Connects to `far` and passes bytes both ways until an end closes or the link is cut.
    async fn pass(self: sync::Arc<Self>, near: net::TcpStream, far: net::SocketAddr) {
        if self.cuts_new.load(atomic::Ordering::SeqCst) {
            reset_on_close(&near);
            return;
        }
        let connect = move || net::TcpStream::connect_timeout(&far, CONNECT_LIMIT);
        let Ok(far) = task::spawn_blocking(connect).await else {
            reset_on_close(&near);
            return;
        };
        if self.pass_both(&near, &far).await.is_err() {
            reset_on_close(&near);
            reset_on_close(&far);
        }
    }

    async fn pass_both(&self, near: &net::TcpStream, far: &net::TcpStream) -> std::io::Result<()> {
        far.set_nodelay(true)?;
        let stop = stop_token::StopSource::new();
        let token = stop.token();
        let link = sync::Arc::new(RelayLink {
            silence: parking_lot::Mutex::default(),
            stop: parking_lot::Mutex::new(Some(stop)),
        });
        self.opened.fetch_add(1, atomic::Ordering::SeqCst);
        self.links.lock().push(sync::Arc::clone(&link));
        let near = async_net::TcpStream::from(near.try_clone()?);
        let far = async_net::TcpStream::from(far.try_clone()?);
        let forward = self.copy(&link, Direction::Forward, near.clone(), far.clone());
        let backward = self.copy(&link, Direction::Backward, far, near);
        let ended = future::try_join(forward, backward).timeout_at(token).await;
        self.links
            .lock()
            .retain(|other| !sync::Arc::ptr_eq(other, &link));
        ended.map_err(|_stopped| std::io::ErrorKind::ConnectionReset)??;
        Ok(())
    }

    async fn copy(
        &self,
        link: &RelayLink,
        direction: Direction,
        mut from: async_net::TcpStream,
        mut to: async_net::TcpStream,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            let delay = self.delay_ms.load(atomic::Ordering::SeqCst);
            task::sleep(time::Duration::from_millis(delay)).await;
            while self.is_silent(link, direction) {
                task::sleep(HOLD_TICK).await;
            }
            if count == 0 {
                return to.shutdown(net::Shutdown::Write);
            }
            to.write_all(&buffer[..count]).await?;
            self.bytes.fetch_add(count as u64, atomic::Ordering::SeqCst);
        }
    }

    fn stats(&self) -> serde_json::Value {
        serde_json::json!({
            "open": self.links.lock().len(),
            "opened": self.opened.load(atomic::Ordering::SeqCst),
            "bytes": self.bytes.load(atomic::Ordering::SeqCst),
        })
    }
}

/// Makes the close of `stream` a reset.
fn reset_on_close(stream: &net::TcpStream) {
    // A socket that refuses the option is closed in the usual way.
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

#[derive(Debug)]
struct RelayHandler {
    state: sync::Arc<RelayState>,
}

impl server::AdminHandler for RelayHandler {
    fn administer(
        self: sync::Arc<Self>,
        mut request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>> {
        Box::pin(async move {
            match (request.method(), request.url().path()) {
                (http_types::Method::Get, "/stats") => server::json(200, &self.state.stats()),
                (http_types::Method::Post, "/fault") => {
                    match server::read_json::<RelayFault>(&mut request).await {
                        Ok(fault) => {
                            self.state.bring_about(fault);
                            server::json(200, &serde_json::json!({}))
                        }
                        Err(answer) => answer,
                    }
                }
                _ => server::refuse(404, "no such path"),
            }
        })
    }
}

fn run(matches: &clap::ArgMatches) -> std::io::Result<()> {
    let far = server::address(matches, "to");
    let main = net::TcpListener::bind(server::address(matches, "listen"))?;
    let admin = server::listen(matches, "admin")?;
    server::announce(main.local_addr()?, admin.local_addr()?);
    let state = sync::Arc::new(RelayState::default());
    let handler = sync::Arc::new(RelayHandler {
        state: sync::Arc::clone(&state),
    });
    task::spawn(server::administer_all(admin, handler));
    for accepted in main.incoming() {
        let Ok(near) = accepted else { continue };
        if near.set_nodelay(true).is_ok() {
            task::spawn(sync::Arc::clone(&state).pass(near, far));
        }
    }
    Ok(())
}

fn command() -> clap::Command {
    server::command("fault_relay", "TCP relay that cuts and goes silent").arg(
        clap::Arg::new("to")
            .long("to")
            .value_name("ADDR")
            .required(true)
            .value_parser(clap::value_parser!(net::SocketAddr))
            .help("Address to pass connections on to"),
    )
}

fn main() -> std::io::Result<()> {
    let matches = command().get_matches();
    run(&matches)
}
