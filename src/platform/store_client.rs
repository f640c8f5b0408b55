//! Client of the platform store. Each call opens a new connection.
//!
//! Connections are not reused, as one that lost a response delivers nothing more, and a dead one
//! cannot be told apart from a slow store.

use std::fmt;
use std::fmt::Write as _;
use std::time;

use futures::FutureExt as _;
use futures::future;

use crate::connection::http;
use crate::platform::store_wire;
use crate::process::gateway::rows;

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Timeout for a response, on top of the requested long-poll wait. A slow store takes a few hundred
/// milliseconds.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Maximum response size; the store truncates lists at 1 MB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Number of times that the store was restored from a copy, in each response.
const ERA_HEADER: &str = "Store-Era";

/// Maximum number of pages in one read, in case the store keeps returning more.
const MAX_PAGES: usize = 200;

/// HTTP client of the platform store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: String,
}

impl StoreClient {
    /// Creates a client for the store at `address`, an IP address and port.
    #[must_use]
    pub fn new(address: String) -> Self {
        Self { address }
    }

    /// Reads a page of rows, and the era of the store that they are of.
    async fn get(
        &self,
        path: &str,
        wait: time::Duration,
    ) -> rows::Result<(store_wire::RowPage, u64)> {
        let method = http_types::Method::Get;
        let whole = self.call(method, path, None, wait).await?;
        let page = store_wire::RowPage::decode(&whole.body).map_err(unavailable)?;
        Ok((page, store_era(&whole.response)?))
    }

    async fn call(
        &self,
        method: http_types::Method,
        path: &str,
        body: Option<&serde_json::Value>,
        wait: time::Duration,
    ) -> rows::Result<http::WholeResponse> {
        let limits = http::ExchangeLimits {
            connect: CONNECT_TIMEOUT,
            head: wait + RESPONSE_TIMEOUT,
        };
        let call = http::send_whole(
            method,
            &self.address,
            path,
            body,
            limits,
            MAX_RESPONSE_BYTES,
        );
        let whole = call.await.map_err(unavailable)?;
        match u16::from(whole.response.status()) {
            200 => Ok(whole),
            410 => Err(rows::RowError::HistoryGone),
            412 => Err(rows::RowError::Conflict),
            status => Err(rows::RowError::Unavailable(format!("status {status}"))),
        }
    }

    /// Reads the rows with keys from `from` on, if there is one, and before `to`, if there is one.
    async fn read_pages(
        &self,
        topic: rows::RowTopic,
        from: Option<&str>,
        to: Option<&str>,
    ) -> rows::Result<rows::RowBatch> {
        let table = store_wire::table_name(topic);
        let mut all = rows::RowBatch::default();
        let end = to.map_or_else(String::new, |to| format!("&to={}", escaped(to.bytes())));
        let begin = from.map_or_else(String::new, |from| {
            format!("&from={}", escaped(from.bytes()))
        });
        let mut path = format!("/rows-get?table={table}&part={end}{begin}");
        for _page in 0..MAX_PAGES {
            let (page, era) = self.get(&path, time::Duration::ZERO).await?;
            let next = page.next_after().map_err(unavailable)?.map(next_key);
            // Keeps the version of the first page, so that the next read of changes also returns
            // what changed while the pages were read.
            if all.version == 0 {
                all.version = page.version;
                all.era = era;
                all.now_ms = page.now_ms;
            }
            if all.era != era {
                return Err(unavailable(
                    "the store was restored while its rows were read",
                ));
            }
            all.rows.extend(page.rows);
            let Some(next) = next else {
                return Ok(all);
            };
            path = format!("/rows-get?table={table}&part={end}&from={next}");
        }
        Err(unavailable("the list has too many pages"))
    }
}

/// Number of times that the store was restored from a copy; 0 when the response does not say it.
fn store_era(response: &http_types::Response) -> rows::Result<u64> {
    let Some(value) = response.header(ERA_HEADER) else {
        return Ok(0);
    };
    value.as_str().trim().parse().map_err(unavailable)
}

/// Returns the smallest key after `key`, percent-encoded for a query.
fn next_key(key: &str) -> String {
    escaped(key.bytes().chain([0]))
}

/// Percent-encodes a key for a query.
fn escaped(key: impl Iterator<Item = u8>) -> String {
    let mut escaped = String::new();
    for byte in key {
        // Writing to a string cannot fail.
        let _infallible = write!(escaped, "%{byte:02X}");
    }
    escaped
}

fn unavailable(error: impl fmt::Display) -> rows::RowError {
    rows::RowError::Unavailable(error.to_string())
}

impl rows::RowStore for StoreClient {
    fn read_all(
        &self,
        topic: rows::RowTopic,
    ) -> future::BoxFuture<'_, rows::Result<rows::RowBatch>> {
        self.read_pages(topic, None, None).boxed()
    }

    fn read_range<'a>(
        &'a self,
        topic: rows::RowTopic,
        from: &'a str,
        to: &'a str,
    ) -> future::BoxFuture<'a, rows::Result<rows::RowBatch>> {
        self.read_pages(topic, Some(from), Some(to)).boxed()
    }

    fn write_rows<'a>(
        &'a self,
        topic: rows::RowTopic,
        puts: &'a [(String, Vec<u8>)],
        removed: &'a [String],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        async move {
            let puts = puts.iter();
            let puts = puts.map(|(key, value)| (key.as_str(), value.as_slice()));
            let body = store_wire::write_rows(topic, puts, removed);
            let method = http_types::Method::Post;
            let wait = time::Duration::ZERO;
            let call = self.call(method, "/rows-tx", Some(&body), wait);
            call.await.map(|_response| ())
        }
        .boxed()
    }

    fn read_changes(
        &self,
        topic: rows::RowTopic,
        after: u64,
        wait: time::Duration,
    ) -> future::BoxFuture<'_, rows::Result<rows::RowBatch>> {
        async move {
            let table = store_wire::table_name(topic);
            let wait_ms = wait.as_millis();
            let path = format!("/rows-feed?table={table}&after={after}&wait_ms={wait_ms}");
            let (page, era) = self.get(&path, wait).await?;
            Ok(rows::RowBatch {
                rows: page.rows,
                version: page.version,
                era,
                now_ms: page.now_ms,
            })
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        topic: rows::RowTopic,
        key: &'a str,
        value: &'a [u8],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        async move {
            let body = store_wire::put_row(topic, key, value);
            let method = http_types::Method::Post;
            let wait = time::Duration::ZERO;
            let call = self.call(method, "/rows-tx", Some(&body), wait);
            call.await.map(|_response| ())
        }
        .boxed()
    }

    fn put_matching<'a>(
        &'a self,
        writes: &'a [rows::RowWrite<'a>],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        async move {
            let body = store_wire::put_matching_rows(writes);
            let method = http_types::Method::Post;
            let wait = time::Duration::ZERO;
            let call = self.call(method, "/rows-tx", Some(&body), wait);
            call.await.map(|_response| ())
        }
        .boxed()
    }
}
