//! TCP service that counts how often requests with each key took effect.

use std::collections;
use std::sync;
use std::time;

use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use async_std::task;

/// How the service handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceFault {
    /// Takes effect and responds.
    None,
    /// Closes the connection before reading the request.
    DropAtOnce,
    /// Closes the connection before the whole body is read; no effect.
    DropInBody,
    /// Takes effect, then closes the connection without a response.
    DropAnswer,
    /// Takes effect, then closes the connection in the middle of the response body.
    CutAnswer,
    /// Takes effect and does not respond for 60 s.
    Silent,
    /// Takes effect and responds after the given delay.
    Late(time::Duration),
}

/// One endpoint of the service, with its effect counters and current fault.
#[derive(Debug)]
pub struct FakeService {
    pub name: String,
    pub address: String,
    fault: parking_lot::Mutex<ServiceFault>,
    effects: parking_lot::Mutex<collections::HashMap<String, u32>>,
}

impl FakeService {
    /// Starts the service on a free port.
    pub async fn start(name: &str) -> sync::Arc<Self> {
        let listener = net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("free port");
        let service = sync::Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("bound").to_string(),
            fault: parking_lot::Mutex::new(ServiceFault::None),
            effects: parking_lot::Mutex::default(),
        });
        let server = sync::Arc::clone(&service);
        task::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let server = sync::Arc::clone(&server);
                task::spawn(async move { server.serve(stream).await });
            }
        });
        service
    }

    /// An endpoint whose address has no listener.
    pub fn absent(name: &str, address: String) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            name: name.to_owned(),
            address,
            fault: parking_lot::Mutex::new(ServiceFault::None),
            effects: parking_lot::Mutex::default(),
        })
    }

    /// Sets the fault for all later requests.
    pub fn set_fault(&self, fault: ServiceFault) {
        *self.fault.lock() = fault;
    }

    /// How often requests with this key took effect.
    pub fn effects(&self, key: &str) -> u32 {
        self.effects.lock().get(key).copied().unwrap_or_default()
    }

    /// How often any request took effect.
    pub fn all_effects(&self) -> u32 {
        self.effects.lock().values().sum()
    }

    async fn serve(&self, mut stream: net::TcpStream) {
        let fault = *self.fault.lock();
        if fault == ServiceFault::DropAtOnce {
            return;
        }
        let Some((key, body)) = read_request(&mut stream, fault).await else {
            return;
        };
        *self.effects.lock().entry(key).or_default() += 1;
        match fault {
            ServiceFault::DropAnswer => return,
            ServiceFault::Silent => {
                task::sleep(time::Duration::from_secs(60)).await;
                return;
            }
            ServiceFault::Late(delay) => task::sleep(delay).await,
            _ => {}
        }
        let body = format!("{} did {}", self.name, String::from_utf8_lossy(&body));
        let sent = if fault == ServiceFault::CutAnswer {
            body.len() / 2
        } else {
            body.len()
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&body.as_bytes()[..sent]).await;
    }
}

async fn read_request(
    stream: &mut net::TcpStream,
    fault: ServiceFault,
) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            continue;
        };
        if fault == ServiceFault::DropInBody {
            return None;
        }
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        if bytes.len() >= end + 4 + length {
            return Some((header(&head, "idempotency-key"), bytes[end + 4..].to_vec()));
        }
    }
}

fn header(head: &str, name: &str) -> String {
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.unwrap_or_default().trim().to_owned()
}
