//! Shared code for tests of gateway processes: the processes, callers, and fakes of everything
//! else.

pub mod caller;
pub mod crash_judge;
pub mod fake_store;
pub mod fakes;
pub mod limit_judge;
pub mod load;
pub mod router;
pub mod system;
