//! Two HTTP listeners of a stand-in: one for its users, one for tests.

use std::io;
use std::net;
use std::sync;

use async_std::net as async_net;
use async_std::task;
use clap::builder;
use futures::future;
use futures::stream::StreamExt as _;
use kumquatpulley::connection::http;

/// Outcome of answering a request; an error closes the connection without an answer.
pub type Result<T> = http_types::Result<T>;

/// Answers requests on the admin port.
pub trait AdminHandler: Send + Sync + 'static {
    /// Answers one request.
    fn administer(
        self: sync::Arc<Self>,
        request: http_types::Request,
    ) -> future::BoxFuture<'static, Result<http_types::Response>>;
}

/// Arguments that all stand-ins share.
pub fn command(name: &'static str, about: &'static str) -> clap::Command {
    let address = |id: &'static str, help: &'static str| {
        clap::Arg::new(id)
            .long(id)
            .value_name("ADDR")
            .default_value("127.0.0.1:0")
            .value_parser(builder::ValueParser::new(parse_address))
            .help(help)
    };
    clap::Command::new(name)
        .about(about)
        .arg(address(
            "listen",
            "Address to serve on; port 0 takes a free one",
        ))
        .arg(address("admin", "Address for faults and counts"))
}

fn parse_address(text: &str) -> std::result::Result<net::SocketAddr, net::AddrParseError> {
    text.parse()
}

/// Prints the line `ready <listen> <admin>` that tells tests where to connect.
pub fn announce(listen: net::SocketAddr, admin: net::SocketAddr) {
    println!("ready {listen} {admin}");
}

/// The address given by the argument `id`.
pub fn address(matches: &clap::ArgMatches, id: &str) -> net::SocketAddr {
    *matches
        .get_one::<net::SocketAddr>(id)
        .expect("address arguments have a default or are required")
}

/// Listens on the address given by the argument `id`.
///
/// # Errors
/// The socket error when the address cannot be listened on.
pub fn listen(matches: &clap::ArgMatches, id: &str) -> io::Result<async_net::TcpListener> {
    http::listen(address(matches, id))
}

/// Answers the admin port until the process ends.
pub async fn administer_all<H: AdminHandler>(
    listener: async_net::TcpListener,
    handler: sync::Arc<H>,
) {
    accept_all(listener, move |request| {
        sync::Arc::clone(&handler).administer(request)
    })
    .await;
}

/// Answers requests on `listener` until the process ends.
pub async fn accept_all<F>(listener: async_net::TcpListener, answer: F)
where
    F: Fn(http_types::Request) -> future::BoxFuture<'static, Result<http_types::Response>>
        + Send
        + Sync
        + 'static,
{
    let answer = sync::Arc::new(answer);
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        let Ok(stream) = accepted else { continue };
        let answer = sync::Arc::clone(&answer);
        task::spawn(async move {
            if stream.set_nodelay(true).is_err() {
                return;
            }
            // A broken connection is the caller's to notice.
            let _ = async_h1::accept(stream, |request| answer(request)).await;
        });
    }
}

/// A JSON answer.
pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Result<http_types::Response> {
    let mut response = http_types::Response::new(status);
    response.set_body(serde_json::to_string(body)?);
    response.insert_header("content-type", "application/json");
    Ok(response)
}

/// An error answer with one sentence.
pub fn refuse(status: u16, message: &str) -> Result<http_types::Response> {
    json(status, &serde_json::json!({ "error": message }))
}

/// Reads the body as JSON, or gives the answer that refuses it.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: &mut http_types::Request,
) -> std::result::Result<T, Result<http_types::Response>> {
    let bytes = request.body_bytes().await.map_err(Err)?;
    serde_json::from_slice(&bytes).map_err(|error| refuse(400, &format!("bad body: {error}")))
}
