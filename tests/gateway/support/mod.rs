//! What tests of whole gateways share: processes, callers, and stand-ins for all else.

pub mod caller;
pub mod router;
pub mod stand_in;
pub mod system;
