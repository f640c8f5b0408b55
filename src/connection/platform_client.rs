//! Client of the platform's table service and VM list over HTTP.

use std::time;

use futures::future;
use futures::future::FutureExt as _;
use serde::de;

use crate::connection::http;
use crate::connection::platform;
use crate::connection::platform_wire;

/// Timeout for connecting to the platform.
pub const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Timeout from the connection to the response head of a read.
pub const READ_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Timeout from the connection to the response head of a write.
pub const WRITE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Maximum size of a response, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// Client of the platform at one address; each call opens a new connection, so none can be stale.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: String,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`, host and port.
    #[must_use]
    pub fn new(address: String) -> Self {
        Self { address }
    }

    async fn exchange(
        &self,
        method: http_types::Method,
        path: &str,
        body: Option<serde_json::Value>,
        head: time::Duration,
    ) -> platform::Result<(u16, Vec<u8>)> {
        let limits = http::ExchangeLimits {
            connect: CONNECT_LIMIT,
            head,
        };
        let body = body.as_ref();
        http::send_json(method, &self.address, path, body, limits, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| exchange_error(&error))
    }

    async fn read_rows(
        &self,
        keys: Vec<String>,
    ) -> platform::Result<Vec<Option<platform_wire::TableRow>>> {
        let asked = keys.len();
        let body = encode(&platform_wire::ReadQuery { keys })?;
        let method = http_types::Method::Post;
        let (status, bytes) = self
            .exchange(method, "/table/read", Some(body), READ_LIMIT)
            .await
            .map_err(without_effect)?;
        let reply: platform_wire::ReadReply = read_answer(status, &bytes)?;
        if reply.rows.len() != asked {
            let message = format!(
                "the platform returned {} rows for {asked} keys",
                reply.rows.len()
            );
            return Err(platform::PlatformError::Unreachable(message));
        }
        Ok(reply.rows)
    }

    async fn write_rows(
        &self,
        writes: Vec<platform_wire::RowWrite>,
    ) -> platform::Result<platform::WriteOutcome> {
        let body = encode(&platform_wire::WriteQuery { writes })?;
        let method = http_types::Method::Post;
        let (status, bytes) = self
            .exchange(method, "/table/write", Some(body), WRITE_LIMIT)
            .await?;
        write_answer(status, &bytes)
    }

    async fn list_vms(&self) -> platform::Result<Vec<platform_wire::VmEntry>> {
        let method = http_types::Method::Get;
        let (status, bytes) = self
            .exchange(method, "/vms", None, READ_LIMIT)
            .await
            .map_err(without_effect)?;
        read_answer(status, &bytes)
    }
}

impl platform::PlatformService for PlatformClient {
    fn read(
        &self,
        keys: Vec<String>,
    ) -> future::BoxFuture<'_, platform::Result<Vec<Option<platform_wire::TableRow>>>> {
        self.read_rows(keys).boxed()
    }

    fn write(
        &self,
        writes: Vec<platform_wire::RowWrite>,
    ) -> future::BoxFuture<'_, platform::Result<platform::WriteOutcome>> {
        self.write_rows(writes).boxed()
    }

    fn vms(&self) -> future::BoxFuture<'_, platform::Result<Vec<platform_wire::VmEntry>>> {
        self.list_vms().boxed()
    }
}

fn encode<T: serde::Serialize>(query: &T) -> platform::Result<serde_json::Value> {
    serde_json::to_value(query)
        .map_err(|error| platform::PlatformError::Unreachable(error.to_string()))
}

fn exchange_error(error: &http::ExchangeError) -> platform::PlatformError {
    let message = error.to_string();
    if error.bytes_sent == 0 {
        return platform::PlatformError::Unreachable(message);
    }
    platform::PlatformError::Unknown(message)
}

/// Maps the error of a read: a read changes nothing, so it never has an unknown effect.
fn without_effect(error: platform::PlatformError) -> platform::PlatformError {
    match error {
        platform::PlatformError::Unknown(message)
        | platform::PlatformError::Unreachable(message) => {
            platform::PlatformError::Unreachable(message)
        }
    }
}

fn read_answer<T: de::DeserializeOwned>(status: u16, bytes: &[u8]) -> platform::Result<T> {
    if status != STATUS_OK {
        let message = format!("the platform answered a read with status {status}");
        return Err(platform::PlatformError::Unreachable(message));
    }
    serde_json::from_slice(bytes)
        .map_err(|error| platform::PlatformError::Unreachable(error.to_string()))
}

fn write_answer(status: u16, bytes: &[u8]) -> platform::Result<platform::WriteOutcome> {
    let unknown = |error: serde_json::Error| platform::PlatformError::Unknown(error.to_string());
    match status {
        STATUS_OK => {
            let reply: platform_wire::WriteReply =
                serde_json::from_slice(bytes).map_err(unknown)?;
            Ok(platform::WriteOutcome::Applied(reply.versions))
        }
        STATUS_CONFLICT => {
            let reply: platform_wire::ConflictReply =
                serde_json::from_slice(bytes).map_err(unknown)?;
            Ok(platform::WriteOutcome::Conflict(reply.rows))
        }
        STATUS_UNAVAILABLE | STATUS_TOO_MANY => Err(platform::PlatformError::Unreachable(format!(
            "the platform refused a write with status {status}"
        ))),
        status => Err(platform::PlatformError::Unknown(format!(
            "the platform answered a write with status {status}"
        ))),
    }
}
