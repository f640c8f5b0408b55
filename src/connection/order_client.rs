//! Sends orders to engines over HTTP.

use std::fmt;
use std::time;

use futures::future;
use futures::future::FutureExt as _;

use crate::connection::engine_wire;
use crate::connection::http;

/// Result of sending an order.
pub type Result<T> = std::result::Result<T, OrderError>;

const ORDER_LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(400),
    head: time::Duration::from_secs(2),
};

const MAX_ANSWER_BYTES: usize = 64 * 1024;

const STATUS_CONFLICT: u16 = 409;

/// Why an order was not acknowledged by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The engine has seen a higher fencing number, so there is a newer issuer.
    StaleFence,
    /// The order may or may not have arrived.
    Failed(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleFence => f.write_str("the engine has seen a higher fencing number"),
            Self::Failed(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for OrderError {}

/// Sends orders to engines.
pub trait OrderSink: fmt::Debug + Send + Sync {
    /// Sends `order` to the engine at `address`, an IP address and port.
    fn send<'a>(
        &'a self,
        address: &'a str,
        order: &'a engine_wire::EngineOrder,
    ) -> future::BoxFuture<'a, Result<()>>;
}

/// Sends each order over a new connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderClient;

impl OrderSink for OrderClient {
    fn send<'a>(
        &'a self,
        address: &'a str,
        order: &'a engine_wire::EngineOrder,
    ) -> future::BoxFuture<'a, Result<()>> {
        send_order(address, order).boxed()
    }
}

async fn send_order(address: &str, order: &engine_wire::EngineOrder) -> Result<()> {
    let fail = |message: String| OrderError::Failed(message);
    let body = serde_json::to_value(order).map_err(|error| fail(error.to_string()))?;
    let (status, _answer) = http::send_json(
        http_types::Method::Post,
        address,
        "/orders",
        Some(&body),
        ORDER_LIMITS,
        MAX_ANSWER_BYTES,
    )
    .await
    .map_err(|error| fail(error.to_string()))?;
    match status {
        200..=299 => Ok(()),
        STATUS_CONFLICT => Err(OrderError::StaleFence),
        status => Err(fail(format!(
            "{address} answered an order with status {status}"
        ))),
    }
}
