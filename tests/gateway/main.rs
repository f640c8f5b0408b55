//! Tests of the gateway: framing, decisions, knowledge of configuration and endpoints, the
//! platform's formats, complete systems on loopback, and a randomized soak test.

#[path = "../common/mod.rs"]
mod common;

mod broken_streams;
mod burst;
mod cached_state;
mod call_queues;
mod caller_keys;
mod changed_configuration;
mod config_rows;
mod crash_evidence;
mod crash_replays;
mod crashing_calls;
mod crashing_prompts;
mod cut_answers;
mod decisions;
mod early_answers;
mod endless_responses;
mod endpoint_limits;
mod endpoint_notices;
mod formats;
mod framing;
mod full_calls;
mod joined_versions;
mod long_prompts;
mod odd_answers;
mod odd_entries;
mod peer_polls;
mod permit_replays;
mod permits;
mod planned_stops;
mod prompt_queues;
mod repeated_requests;
mod restarted_engines;
mod restored_store;
mod rollout_failures;
mod rollout_orders;
mod rollout_replays;
mod rollout_rows;
mod rollouts;
mod silent_calls;
mod silent_engines;
mod slow_links;
mod soak;
mod sound_calls;
mod stop_replays;
mod stop_rules;
mod stray_refusals;
mod stream_versions;
mod support;
mod token_transfers;
mod version_choice;
mod whole;
