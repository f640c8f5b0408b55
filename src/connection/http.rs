//! HTTP/1.1 client that opens a new connection per request and counts the bytes sent.

use std::fmt;
use std::io as std_io;
use std::panic;
use std::time;

use async_std::future;
use async_std::net;
use futures::FutureExt as _;
use http_types::headers;

use crate::connection::head_limit;
use crate::connection::observed;

/// Result of an HTTP exchange.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// How far an exchange got before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStage {
    /// No connection was established.
    Connect,
    /// The connection failed after it was established.
    Exchange,
    /// The exchange timed out.
    Timeout,
    /// This process did not allow a write.
    Withheld,
}

/// A failed exchange.
#[derive(Clone, Debug)]
pub struct ExchangeError {
    /// How far the exchange got.
    pub stage: ExchangeStage,
    /// Bytes of the request that were written to the socket.
    pub bytes_sent: u64,
    /// Error reported by the socket or the decoder.
    pub message: String,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ExchangeError {}

/// Rate below which a body takes too long. A twentieth of the narrowest link of a VM, 10 Mbit/s.
pub const MIN_BYTES_PER_SECOND: u32 = 64 * 1024;

/// Bytes of a body read at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Timeouts of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Timeout for connecting.
    pub connect: time::Duration,
    /// Timeout from the connection to the response head.
    pub head: time::Duration,
}

impl Default for ExchangeLimits {
    fn default() -> Self {
        Self {
            connect: time::Duration::from_millis(500),
            head: time::Duration::from_secs(5),
        }
    }
}

/// Opens a connection with `TCP_NODELAY` set.
///
/// # Errors
/// [`ExchangeStage::Connect`] when no connection was established within `limit`.
pub async fn connect(address: &str, limit: time::Duration) -> Result<net::TcpStream> {
    let fail = |message: String| ExchangeError {
        stage: ExchangeStage::Connect,
        bytes_sent: 0,
        message,
    };
    let connected = future::timeout(limit, net::TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_elapsed| fail(format!("no connection to {address} within {limit:?}")))?
        .map_err(|error| fail(format!("no connection to {address}: {error}")))?;
    stream
        .set_nodelay(true)
        .map_err(|error| fail(format!("{address}: {error}")))?;
    Ok(stream)
}

/// Creates a request for `path` at `address` (host and port).
#[must_use]
pub fn request(method: http_types::Method, address: &str, path: &str) -> http_types::Request {
    let url = format!("http://{address}{path}");
    let fallback = format!("http://{address}/");
    let url = http_types::Url::parse(&url)
        .or_else(|_error| http_types::Url::parse(&fallback))
        .unwrap_or_else(|_error| unreachable_url());
    http_types::Request::new(method, url)
}

fn unreachable_url() -> http_types::Url {
    const UNROUTABLE: &str = "http://0.0.0.0:0/";
    http_types::Url::parse(UNROUTABLE).expect("the constant is a valid URL")
}

/// Sends `request` over a new connection and returns the response with its body unread.
///
/// The connection closes when the response is dropped.
///
/// # Errors
/// [`ExchangeError`]; its `bytes_sent` shows whether the request may have run.
pub async fn send(
    address: &str,
    mut request: http_types::Request,
    limits: ExchangeLimits,
) -> Result<http_types::Response> {
    let stream = connect(address, limits.connect).await?;
    let counter = observed::SentCounter::default();
    let stream = observed::ObservedStream::new(stream, counter.clone())
        .limit_head(head_limit::HeadKind::Response);
    request.insert_header(headers::CONNECTION, "close");
    let fail = |stage, message| ExchangeError {
        stage,
        bytes_sent: counter.sent(),
        message,
    };
    // `async_h1` panics on header fields beyond ASCII, which would end the task of the caller.
    let exchange = panic::AssertUnwindSafe(async_h1::connect(stream, request)).catch_unwind();
    match future::timeout(limits.head, exchange).await {
        Ok(Ok(Ok(response))) => Ok(response),
        Ok(Ok(Err(error))) => Err(fail(
            ExchangeStage::Exchange,
            format!("connection to {address} failed: {error}"),
        )),
        Ok(Err(_panic)) => Err(fail(
            ExchangeStage::Exchange,
            format!("{address} sent a head that cannot be read; check what answers there"),
        )),
        Err(_elapsed) => Err(fail(
            ExchangeStage::Timeout,
            format!("{address} gave no answer within {:?}", limits.head),
        )),
    }
}

/// A response whose body was read to its end.
#[derive(Debug)]
pub struct WholeResponse {
    /// Status and headers; the body was taken out.
    pub response: http_types::Response,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends a JSON body and returns status and the whole response body, at most `max_bytes`.
///
/// # Errors
/// As [`send_whole`].
pub async fn send_json(
    method: http_types::Method,
    address: &str,
    path: &str,
    body: Option<&serde_json::Value>,
    limits: ExchangeLimits,
    max_bytes: usize,
) -> Result<(u16, Vec<u8>)> {
    let whole = send_whole(method, address, path, body, limits, max_bytes).await?;
    Ok((u16::from(whole.response.status()), whole.body))
}

/// Sends a JSON body and returns the response with its whole body, at most `max_bytes`.
///
/// # Errors
/// As [`send`]; [`ExchangeStage::Exchange`] when the body is too large or cut short, or a success does not
/// declare where its body ends.
pub async fn send_whole(
    method: http_types::Method,
    address: &str,
    path: &str,
    body: Option<&serde_json::Value>,
    limits: ExchangeLimits,
    max_bytes: usize,
) -> Result<WholeResponse> {
    let mut message = request(method, address, path);
    if let Some(body) = body {
        message.set_body(body.to_string());
        message.insert_header(headers::CONTENT_TYPE, "application/json");
    }
    let mut response = send(address, message, limits).await?;
    let body = read_body(&mut response.take_body(), limits.head, max_bytes).await?;
    let fail = |message| ExchangeError {
        stage: ExchangeStage::Exchange,
        bytes_sent: 1,
        message: format!("{address}: {message}"),
    };
    let is_head = method == http_types::Method::Head;
    match declared_length(&response, is_head) {
        Ok(length) => check_length(length, body.len()).map_err(fail)?,
        // Without a length, a reset looks like the end of the body.
        Err(message) if response.status().is_success() => return Err(fail(message)),
        // A refusal is known by its status.
        Err(_message) => {}
    }
    Ok(WholeResponse { response, body })
}

/// Body length that a response declares; `None` when the body is chunked or there is none.
///
/// # Errors
/// A message with the next step when the length is missing or invalid.
pub fn declared_length(
    response: &http_types::Response,
    is_head: bool,
) -> std::result::Result<Option<usize>, String> {
    let bodiless = [
        http_types::StatusCode::NoContent,
        http_types::StatusCode::NotModified,
    ];
    if is_head || bodiless.contains(&response.status()) {
        return Ok(None);
    }
    if response.header(headers::TRANSFER_ENCODING).is_some() {
        return Ok(None);
    }
    let header = response.header(headers::CONTENT_LENGTH);
    let header =
        header.ok_or("the answer has no Content-Length and is not chunked; send either")?;
    let length = header.last().as_str().trim().parse();
    Ok(Some(length.map_err(|error| {
        format!("invalid Content-Length: {error}")
    })?))
}

/// Checks that a body of `received` bytes has its declared length, if there is one.
///
/// # Errors
/// A message that tells where the body ended.
pub fn check_length(declared: Option<usize>, received: usize) -> std::result::Result<(), String> {
    if declared.is_some_and(|length| length != received) {
        return Err(format!("the answer ended after {received} bytes"));
    }
    Ok(())
}

/// Reads a whole body of at most `max_bytes` within `limit`, which is extended by the time that the
/// received bytes take at [`MIN_BYTES_PER_SECOND`].
///
/// # Errors
/// [`ExchangeStage::Exchange`] or [`ExchangeStage::Timeout`]; the request has been sent by then.
pub async fn read_body(
    body: &mut http_types::Body,
    limit: time::Duration,
    max_bytes: usize,
) -> Result<Vec<u8>> {
    use async_std::io::ReadExt as _;
    let fail = |stage, message: String| ExchangeError {
        stage,
        bytes_sent: 1,
        message,
    };
    let began = time::Instant::now();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let received = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let extension = time::Duration::from_secs(1) * received / MIN_BYTES_PER_SECOND;
        let left = (limit + extension).saturating_sub(began.elapsed());
        let read = future::timeout(left, body.read(&mut chunk)).await;
        let read = read.map_err(|_elapsed| {
            let count = bytes.len();
            let message = format!("body not complete within {limit:?}; {count} bytes received");
            fail(ExchangeStage::Timeout, message)
        })?;
        let count = read.map_err(|error| {
            let message = format!("reading the body failed: {error}");
            fail(ExchangeStage::Exchange, message)
        })?;
        if count == 0 {
            return Ok(bytes);
        }
        bytes.extend_from_slice(&chunk[..count]);
        if bytes.len() > max_bytes {
            let message = format!("body is larger than {max_bytes} bytes");
            return Err(fail(ExchangeStage::Exchange, message));
        }
    }
}

/// Creates a listener with a backlog of [`LISTEN_BACKLOG`] connections.
///
/// # Errors
/// The socket error, for example an address in use.
pub fn listen(address: std::net::SocketAddr) -> std_io::Result<net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    let listener = std::net::TcpListener::from(socket);
    Ok(net::TcpListener::from(listener))
}

/// Maximum number of connections that wait to be accepted.
pub const LISTEN_BACKLOG: i32 = 4096;
