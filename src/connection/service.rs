//! Exchange with one endpoint of a plain service; checks before each write that it may send.

use std::fmt;
use std::io as std_io;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::future;
use http_types::headers;

use crate::connection::body_intake;
use crate::connection::call_body;
use crate::connection::head_limit;
use crate::connection::http;
use crate::connection::observed;
use crate::connection::peer_wire;
use crate::process::limits::caller_memory;

/// Result of an exchange with a service endpoint.
pub type Result<T> = http::Result<T>;

/// Request header that carries the idempotency key to the service.
pub const KEY_HEADER: &str = "idempotency-key";

/// Whether this process may send requests at the moment.
pub trait SendGate: fmt::Debug + Send + Sync {
    /// Returns false while the process is catching up, for example after a pause.
    fn may_send(&self) -> bool;

    /// Returns false once the process only finishes the work that it has.
    fn may_start(&self) -> bool {
        true
    }
}

/// A gate that always allows sending.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenGate;

impl SendGate for OpenGate {
    fn may_send(&self) -> bool {
        true
    }
}

/// Conditions for sending a request, and the limits of its answer.
#[derive(Clone, Debug)]
pub struct SendTerms {
    /// No byte is sent at or after this time.
    pub send_before: time::Instant,
    /// Checked before each write.
    pub gate: sync::Arc<dyn SendGate>,
    /// Timeout for connecting.
    pub connect_limit: time::Duration,
    /// Timeout from the connection to the end of the answer.
    pub answer_limit: time::Duration,
    /// Maximum size of the answer body, in bytes.
    pub max_answer_bytes: usize,
}

impl SendTerms {
    /// Whether a byte may be sent now.
    #[must_use]
    pub fn allows_send(&self) -> bool {
        self.allow().is_ok()
    }

    fn allow(&self) -> std_io::Result<()> {
        if !self.gate.may_send() {
            return Err(std_io::Error::new(
                std_io::ErrorKind::PermissionDenied,
                "the router is catching up after a pause",
            ));
        }
        if time::Instant::now() >= self.send_before {
            return Err(std_io::Error::new(
                std_io::ErrorKind::TimedOut,
                "the deadline passed before the request was sent",
            ));
        }
        Ok(())
    }
}

/// Complete answer of a service endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// `Content-Type` of the body, if any.
    pub content_type: Option<String>,
    /// Body bytes.
    pub body: call_body::CallBody,
}

/// Checks the terms before each write and counts the bytes sent.
#[derive(Clone, Debug)]
struct TermsObserver {
    terms: SendTerms,
    counter: observed::SentCounter,
    /// Whether a write was not allowed.
    was_withheld: sync::Arc<atomic::AtomicBool>,
}

impl observed::StreamObserver for TermsObserver {
    fn allow_write(&self) -> std_io::Result<()> {
        let allowed = self.terms.allow();
        if allowed.is_err() {
            self.was_withheld.store(true, atomic::Ordering::SeqCst);
        }
        allowed
    }

    fn wrote(&self, count: usize) {
        self.counter.wrote(count);
    }
}

/// Sends `call` to the endpoint at `address` over a new connection and reads the whole answer.
///
/// # Errors
/// [`http::ExchangeError`]; its `bytes_sent` is 0 only when no byte of the request was sent.
pub async fn exchange(
    address: &str,
    call: &peer_wire::CallWire,
    terms: &SendTerms,
) -> Result<ServiceAnswer> {
    let request = build_request(address, call)?;
    let stream = http::connect(address, terms.connect_limit).await?;
    let counter = observed::SentCounter::default();
    let was_withheld = sync::Arc::<atomic::AtomicBool>::default();
    let observer = TermsObserver {
        terms: terms.clone(),
        counter: counter.clone(),
        was_withheld: sync::Arc::clone(&was_withheld),
    };
    let guarded =
        observed::ObservedStream::new(stream, observer).limit_head(head_limit::HeadKind::Response);
    let fail = |stage, message| http::ExchangeError {
        stage,
        bytes_sent: counter.sent(),
        message,
    };
    let answer = exchange_over(guarded, request, call.body.open_answer(), terms);
    match future::timeout(terms.answer_limit, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(message)) => Err(fail(
            if was_withheld.load(atomic::Ordering::SeqCst) {
                http::ExchangeStage::Withheld
            } else {
                http::ExchangeStage::Exchange
            },
            format!("exchange with {address} failed: {message}"),
        )),
        Err(_elapsed) => Err(fail(
            http::ExchangeStage::Timeout,
            format!("{address} gave no answer within {:?}", terms.answer_limit),
        )),
    }
}

async fn exchange_over(
    stream: observed::ObservedStream<TermsObserver>,
    request: http_types::Request,
    hold: Option<caller_memory::MemoryHold>,
    terms: &SendTerms,
) -> std::result::Result<ServiceAnswer, String> {
    let is_head = request.method() == http_types::Method::Head;
    let connected = async_h1::connect(stream, request).await;
    let mut response = connected.map_err(|error| error.to_string())?;
    let status = u16::from(response.status());
    let length = http::declared_length(&response, is_head)?;
    let content_type = response
        .header(headers::CONTENT_TYPE)
        .map(|values| values.last().as_str().to_owned());
    let mut body = response.take_body();
    // The caller of this function limits the time.
    let read = body_intake::read_answer(&mut body, hold, terms.max_answer_bytes).await;
    let body = read.map_err(|fault| fault.to_string())?;
    http::check_length(length, body.len())?;
    Ok(ServiceAnswer {
        status,
        content_type,
        body,
    })
}

fn build_request(address: &str, call: &peer_wire::CallWire) -> Result<http_types::Request> {
    let reject = |message: String| http::ExchangeError {
        stage: http::ExchangeStage::Connect,
        bytes_sent: 0,
        message,
    };
    let method: http_types::Method = call
        .method
        .parse()
        .map_err(|_error| reject(format!("method {} is not known", call.method)))?;
    let url = http_types::Url::parse(&format!("http://{address}{}", call.path))
        .map_err(|error| reject(format!("path {} is not valid: {error}", call.path)))?;
    let mut request = http_types::Request::new(method, url);
    request.set_body(call.body.message_body());
    request.remove_header(headers::CONTENT_TYPE);
    if let Some(content_type) = &call.content_type {
        request.insert_header(headers::CONTENT_TYPE, content_type.as_str());
    }
    if !call.key.is_empty() {
        request.insert_header(KEY_HEADER, call.key.as_str());
    }
    request.insert_header(headers::CONNECTION, "close");
    Ok(request)
}
