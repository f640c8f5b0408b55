//! Remembers which software version began a stream, for as long as a caller may take it up.
//!
//! Nothing is written while a service has one version. `ledger` decides without I/O, `row` is the
//! format in the store, and `keeper` reads and writes it.

pub mod keeper;
pub mod ledger;
pub mod row;
