//! What lives as long as one connection: to callers, endpoints, peers and the platform.

pub mod caller_address;
pub mod caller_client;
pub mod caller_progress;
pub mod caller_retry;
pub mod caller_run;
pub mod caller_stream;
pub mod caller_wire;
pub mod completion;
pub mod engine;
pub mod engine_wire;
pub mod http;
pub mod order_client;
pub mod peer;
pub mod peer_client;
pub mod peer_server;
pub mod peer_stream;
pub mod peer_wire;
pub mod platform;
pub mod platform_client;
pub mod platform_wire;
pub mod refusal;
pub mod service;
pub mod sse;
