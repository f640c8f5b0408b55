//! The main port of a stand-in that speaks HTTP.

use std::io;
use std::sync;

use futures::future;

use super::server;

/// Answers requests on the main port.
pub trait ServiceHandler: server::AdminHandler {
    /// Answers one request; an error closes the connection without an answer.
    fn serve(
        self: sync::Arc<Self>,
        request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>>;
}

/// Serves both ports until the process ends.
///
/// # Errors
/// The socket error when an address cannot be listened on.
pub async fn run<H: ServiceHandler>(
    matches: &clap::ArgMatches,
    handler: sync::Arc<H>,
) -> io::Result<()> {
    let main = server::listen(matches, "listen")?;
    let admin = server::listen(matches, "admin")?;
    server::announce(main.local_addr()?, admin.local_addr()?);
    let admin_loop = server::administer_all(admin, sync::Arc::clone(&handler));
    let main_loop = server::accept_all(main, move |request| {
        sync::Arc::clone(&handler).serve(request)
    });
    future::join(main_loop, admin_loop).await;
    Ok(())
}
