//! What operators do with running routers, through the real programs.

#[path = "../common/mod.rs"]
mod common;
#[path = "../../examples/support/oracle.rs"]
mod oracle;
#[path = "../../examples/support/port_claim.rs"]
mod port_claim;
#[path = "../support/program.rs"]
mod program;
#[path = "../support/stand_in.rs"]
mod stand_in;

mod bounds;
mod cut_requests;
mod daemon;
mod late_requests;
mod planned_stop;
mod running;
