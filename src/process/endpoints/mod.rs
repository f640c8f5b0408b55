//! The endpoints: what they report, and which one a request goes to.

pub mod endpoint_entry;
pub mod endpoint_table;
pub mod leaving;
pub mod placement;
pub mod prefix_index;
pub mod subset;
pub mod watch;
