//! Shared code for tests of gateway processes: the processes, callers, and fakes of everything
//! else.

pub mod call_burst;
pub mod call_load;
pub mod caller;
pub mod crash_features;
pub mod crash_judge;
pub mod crash_replay;
pub mod deadly_calls;
pub mod fake_store;
pub mod fakes;
pub mod fleet_caller;
pub mod limit_judge;
pub mod load;
pub mod paced_net;
pub mod planned_stop;
pub mod prompt_burst;
pub mod rollout_conditions;
pub mod rollout_replay;
pub mod rollout_world;
pub mod router;
pub mod run_log;
pub mod silent_endpoint;
pub mod stop_caller;
pub mod stop_judge;
pub mod stop_series;
pub mod system;
pub mod timed_work;
