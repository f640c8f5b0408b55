//! One router: wires the parts together and runs them until a stop is asked for.

use std::fmt;
use std::io;
use std::net;

use crate::process::settings;

/// Outcome of running a router.
pub type Result<T> = std::result::Result<T, NodeError>;

/// Why a router could not run.
#[derive(Debug)]
pub enum NodeError {
    /// An address of the settings cannot be listened on.
    Listen {
        /// Settings field of the address.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// What the socket reported.
        error: io::Error,
    },
    /// Anything else that the process cannot go on without.
    Setup(io::Error),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                field,
                address,
                error,
            } => write!(
                f,
                "{field}: cannot listen on {address}: {error}; free the address or set another one"
            ),
            Self::Setup(error) => write!(f, "cannot start: {error}"),
        }
    }
}

impl std::error::Error for NodeError {}

/// Runs a router until it has drained.
///
/// # Errors
/// [`NodeError`] when an address cannot be listened on or the process lacks what it needs.
pub fn run(settings: &settings::RouterSettings) -> Result<()> {
    let addresses = [
        ("listen", settings.listen),
        ("peer_listen", settings.peer_listen),
        ("admin_listen", settings.admin_listen),
    ];
    for (field, address) in addresses {
        net::TcpListener::bind(address).map_err(|error| NodeError::Listen {
            field,
            address,
            error,
        })?;
    }
    Err(NodeError::Setup(io::Error::from(
        io::ErrorKind::Unsupported,
    )))
}
