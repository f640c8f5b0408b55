//! What tests of whole gateways share: processes, callers, and stand-ins for all else.

pub mod caller;
pub mod fakes;
pub mod router;
pub mod system;
