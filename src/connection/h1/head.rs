//! Request and response heads, and the body framing that they declare.

use std::fmt;
use std::io::Write as _;

/// Result of parsing a head.
pub type Result<T> = std::result::Result<T, HeadError>;

/// Maximum number of header fields in one head.
pub const MAX_FIELDS: usize = 100;

/// Lowest status code (RFC 9110, section 15).
const MIN_STATUS: u16 = 100;

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not an HTTP/1.1 head.
    Malformed,
    /// The framing fields conflict, or parsers disagree on how to read them.
    AmbiguousFraming,
    /// More fields than [`MAX_FIELDS`].
    TooManyFields,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the head is not HTTP/1.1; send a well-formed request",
            Self::AmbiguousFraming => "the body length is ambiguous; send one length or chunks",
            Self::TooManyFields => "the head has too many fields; send fewer",
        })
    }
}

impl std::error::Error for HeadError {}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name as received.
    pub name: String,
    /// Value without surrounding white space.
    pub value: Vec<u8>,
}

/// Header fields in the order received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList(pub Vec<HeaderField>);

impl HeaderList {
    /// First value of a field; `None` when it is missing or not UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let fields = &mut self.0.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// All values of a field.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let fields = self.0.iter();
        fields
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .map(|field| field.value.as_slice())
    }

    /// Number of fields with this name.
    #[must_use]
    pub fn count(&self, name: &str) -> usize {
        self.values(name).count()
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.0.push(HeaderField {
            name: name.to_owned(),
            value: value.as_ref().to_vec(),
        });
    }

    /// Removes every field of that name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// Whether a comma-separated field contains `token`, ignoring case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| {
            let mut parts = value.split(|byte| *byte == b',');
            parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Removes hop-by-hop fields, and the framing fields, which each hop sets itself.
    pub fn remove_hop_fields(&mut self) {
        const HOP_FIELDS: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        let named: Vec<String> = self
            .values("connection")
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(|token| String::from_utf8_lossy(token.trim_ascii()).into_owned())
            .collect();
        self.0.retain(|field| {
            let is_hop = |name: &str| field.name.eq_ignore_ascii_case(name);
            !HOP_FIELDS.iter().any(|name| is_hop(name)) && !named.iter().any(|name| is_hop(name))
        });
    }

    fn from_parsed(fields: &[httparse::Header<'_>]) -> Self {
        let fields = fields.iter().map(|field| HeaderField {
            name: field.name.to_owned(),
            value: field.value.to_vec(),
        });
        Self(fields.collect())
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Content-Length`, in bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// All bytes until the connection closes; responses only.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Path with query, as received.
    pub target: String,
    /// Whether the protocol is HTTP/1.1, which keeps connections by default.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Framing of the body.
    ///
    /// # Errors
    /// [`HeadError::AmbiguousFraming`] for anything that two parsers could read differently.
    pub fn framing(&self) -> Result<BodyFraming> {
        Ok(framing(&self.headers)?.unwrap_or(BodyFraming::Length(0)))
    }

    /// Whether the caller keeps the connection after the answer.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        self.is_http11 && !self.headers.has_token("connection", "close")
    }
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderList,
}

impl ResponseHead {
    /// Framing of the body of an answer to `method`.
    ///
    /// # Errors
    /// [`HeadError::AmbiguousFraming`] for anything that two parsers could read differently.
    pub fn framing(&self, method: &str) -> Result<BodyFraming> {
        if method == "HEAD" || self.status == 204 || self.status == 304 {
            return Ok(BodyFraming::Length(0));
        }
        Ok(framing(&self.headers)?.unwrap_or(BodyFraming::UntilClose))
    }
}

/// Parses a request head; returns it and its length in bytes, or `None` while incomplete.
///
/// # Errors
/// When no further bytes can make this a usable head.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let target = request.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        is_http11: request.version == Some(1),
        headers: HeaderList::from_parsed(request.headers),
    };
    Ok(Some((head, length)))
}

/// Parses a response head; returns it and its length in bytes, or `None` while incomplete.
///
/// # Errors
/// When no further bytes can make this a usable head, or its status is below 100.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let status = response.code.unwrap_or_default();
    if status < MIN_STATUS {
        return Err(HeadError::Malformed);
    }
    let head = ResponseHead {
        status,
        headers: HeaderList::from_parsed(response.headers),
    };
    Ok(Some((head, length)))
}

/// Writes the head of a request with a body of `length` bytes and `Connection: close`.
#[must_use]
pub fn write_request(head: &RequestHead, length: usize) -> Vec<u8> {
    let mut bytes = format!("{} {} HTTP/1.1\r\n", head.method, head.target).into_bytes();
    write_fields(&mut bytes, &head.headers);
    if length > 0 || head.method != "GET" {
        push_line(&mut bytes, "Content-Length", length.to_string().as_bytes());
    }
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    bytes
}

/// Writes a response head with the framing fields for `framing`.
#[must_use]
pub fn write_response(head: &ResponseHead, framing: BodyFraming, is_kept_alive: bool) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {} {}\r\n", head.status, reason(head.status)).into_bytes();
    write_fields(&mut bytes, &head.headers);
    match framing {
        BodyFraming::Length(length) => {
            push_line(&mut bytes, "Content-Length", length.to_string().as_bytes());
        }
        BodyFraming::Chunked => push_line(&mut bytes, "Transfer-Encoding", b"chunked"),
        BodyFraming::UntilClose => {}
    }
    if !is_kept_alive {
        push_line(&mut bytes, "Connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn write_fields(bytes: &mut Vec<u8>, headers: &HeaderList) {
    for field in &headers.0 {
        push_line(bytes, &field.name, &field.value);
    }
}

fn push_line(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}

/// Appends one chunk.
pub fn write_chunk(bytes: &mut Vec<u8>, data: &[u8]) {
    // Writing to a vector cannot fail.
    let _infallible = write!(bytes, "{:x}\r\n", data.len());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
}

/// Terminates a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn framing(headers: &HeaderList) -> Result<Option<BodyFraming>> {
    let lengths = headers.count("content-length");
    let encodings = headers.count("transfer-encoding");
    match (lengths, encodings) {
        (0, 0) => Ok(None),
        (1, 0) => {
            let text = headers.get("content-length").unwrap_or_default();
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_length| is_number);
            let length = length.ok_or(HeadError::AmbiguousFraming)?;
            Ok(Some(BodyFraming::Length(length)))
        }
        (0, 1) => {
            let text = headers.get("transfer-encoding").unwrap_or_default();
            if !text.eq_ignore_ascii_case("chunked") {
                return Err(HeadError::AmbiguousFraming);
            }
            Ok(Some(BodyFraming::Chunked))
        }
        _ => Err(HeadError::AmbiguousFraming),
    }
}

fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyFields,
        _ => HeadError::Malformed,
    }
}

fn reason(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|code| code.canonical_reason())
        .unwrap_or("Unknown")
}
