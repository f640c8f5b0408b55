//! Loopback ports for programs that cannot take port 0 because others are told their address first.

use std::net;
use std::process;
use std::sync::atomic;

/// Outcome of claiming a port.
pub type Result<T> = eyre::Result<T>;

/// Ports below the ones that the kernel gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;

static NEXT_PORT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// A loopback address that no other bench takes while the claim lives.
#[derive(Debug)]
pub struct PortClaim {
    /// The address.
    pub address: net::SocketAddr,
    /// The same port of UDP, held so that benches of other test processes see the claim.
    _held: net::UdpSocket,
}

impl PortClaim {
    /// Claims an address on which nobody listens.
    pub fn take() -> Result<Self> {
        for _try in 0..PORT_COUNT {
            let step = NEXT_PORT.fetch_add(1, atomic::Ordering::Relaxed);
            let offset = (process::id().wrapping_mul(997) + step) % PORT_COUNT;
            let port = u16::try_from(FIRST_PORT + offset)?;
            let address = net::SocketAddr::from(([127, 0, 0, 1], port));
            let Ok(held) = net::UdpSocket::bind(address) else {
                continue;
            };
            // Not tried by listening: a process that another thread starts at that moment would hold
            // the socket until its own program runs, and the port would be taken.
            if net::TcpStream::connect(address).is_err() {
                return Ok(Self {
                    address,
                    _held: held,
                });
            }
        }
        Err(eyre::eyre!("no free port"))
    }
}
