//! Endpoint state, load reports and the choice of an endpoint for each request.

pub mod endpoint_entry;
pub mod endpoint_table;
pub mod leaving;
pub mod placement;
pub mod prefix_index;
pub mod subset;
pub mod watch;
