//! The demo: one long answer that outlives an engine and a router.

use std::fs;
use std::path;
use std::process;
use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::connection::caller_client;
use kumquatpulley::process::telemetry::timeline;

use crate::support::demo::cluster;
use crate::support::demo::console;
use crate::support::demo::outcome;

#[path = "support/oracle.rs"]
mod oracle;

mod support {
    pub mod demo;
    pub mod port_claim;
}

/// Outcome of a step.
type Result<T> = eyre::Result<T>;

const PROMPT: &str = "Write the quote for 120 chair covers with sage bows.";
const BEARER: &str = "demo-key";
const MODEL: &str = "quote-writer";
const MAX_TOKENS: u32 = 400;

/// Tokens after which the engine is killed.
const ENGINE_DEATH_AT: usize = 100;

/// Tokens after which the router is killed.
const ROUTER_DEATH_AT: usize = 250;

const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(2);
const DEMO_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Events of the answer, shared by the caller and the one who kills.
type SharedEvents = sync::Arc<parking_lot::Mutex<Vec<caller_client::CallerEvent>>>;

/// When the processes were killed, and what they knew.
#[derive(Debug)]
struct DemoDeaths {
    engine: time::Instant,
    router: time::Instant,
    engine_tokens: u64,
    engine_name: String,
    router_name: String,
    router_events: Vec<timeline::TimelineEvent>,
}

fn main() -> process::ExitCode {
    let folder = command()
        .get_matches()
        .get_one::<path::PathBuf>("folder")
        .cloned()
        .unwrap_or_default();
    match task::block_on(run(&folder)) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}; logs are in {}", folder.display());
            process::ExitCode::FAILURE
        }
    }
}

fn command() -> clap::Command {
    clap::Command::new("demo_driver")
        .about("Loses an engine and a router in the middle of one answer")
        .arg(
            clap::Arg::new("folder")
                .long("folder")
                .value_name("DIR")
                .default_value(".demo")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Folder for settings and logs"),
        )
}

async fn run(folder: &path::Path) -> Result<bool> {
    fs::create_dir_all(folder)?;
    let console = console::DemoConsole::new();
    let cluster = cluster::DemoCluster::start(folder)?;
    console.say("started the platform, 3 engines, 1 plain service and 3 routers in 2 zones");
    console.say(&cluster.apply()?);

    let events = SharedEvents::default();
    let answer = task::spawn(generate(client(&cluster), sync::Arc::clone(&events)));
    let deaths = kill_midway(&cluster, console, &events).await?;
    let answer = answer.await?;
    console.say(&format!(
        "the answer is complete: {} tokens",
        answer.tokens.len()
    ));

    print_timeline(&cluster, &deaths, &answer.key).await;
    let outcome = judge(&cluster, &deaths, &answer, &events).await?;
    println!("{}", serde_json::to_string(&outcome)?);
    Ok(outcome.is_whole())
}

fn client(cluster: &cluster::DemoCluster) -> caller_client::CallerClient {
    let routers = cluster.routers.iter();
    caller_client::CallerClient::new(caller_client::CallerSettings {
        routers: routers.map(|router| router.listen.to_string()).collect(),
        zone: None,
        bearer: BEARER.to_owned(),
        deadline: caller_client::DEFAULT_DEADLINE,
        idle_timeout: caller_client::DEFAULT_IDLE_TIMEOUT,
    })
}

async fn generate(
    client: caller_client::CallerClient,
    events: SharedEvents,
) -> Result<caller_client::CallerAnswer> {
    let request = caller_client::GenerationRequest {
        model: MODEL.to_owned(),
        prompt: PROMPT.to_owned(),
        max_tokens: MAX_TOKENS,
    };
    let answer = client
        .generate(&request, &mut |event| events.lock().push(event))
        .await?;
    Ok(answer)
}

async fn kill_midway(
    cluster: &cluster::DemoCluster,
    console: console::DemoConsole,
    events: &SharedEvents,
) -> Result<DemoDeaths> {
    wait_for_tokens(events, ENGINE_DEATH_AT).await?;
    let engine = cluster.busy_engine().await?;
    let engine_tokens = cluster.engine_stats(&engine).await?.tokens_computed;
    let engine_death = time::Instant::now();
    cluster.kill(&engine.name)?;
    console.say(&format!(
        "killed {} after {ENGINE_DEATH_AT} tokens",
        engine.name
    ));

    wait_for_tokens(events, ROUTER_DEATH_AT).await?;
    let address = serving_address(events);
    let mut routers = cluster.routers.iter();
    let router = routers.find(|router| Some(router.listen.to_string()) == address);
    let router = router.ok_or_else(|| eyre::eyre!("no router serves the answer"))?;
    let router_events = cluster.events(router).await?;
    let router_death = time::Instant::now();
    cluster.kill(&router.name)?;
    console.say(&format!(
        "killed router {} after {ROUTER_DEATH_AT} tokens",
        router.name
    ));
    Ok(DemoDeaths {
        engine: engine_death,
        router: router_death,
        engine_tokens,
        engine_name: engine.name,
        router_name: router.name.clone(),
        router_events,
    })
}

async fn wait_for_tokens(events: &SharedEvents, count: usize) -> Result<()> {
    let started = time::Instant::now();
    while held(events) < count {
        if started.elapsed() > DEMO_LIMIT {
            let held = held(events);
            return Err(eyre::eyre!(
                "{held} of {count} tokens came in {DEMO_LIMIT:?}"
            ));
        }
        task::sleep(WATCH_INTERVAL).await;
    }
    Ok(())
}

/// Tokens of the answer so far.
fn held(events: &SharedEvents) -> usize {
    let events = events.lock();
    let last = events.iter().rev().find_map(|event| match event.kind {
        caller_client::CallerEventKind::Token { index, .. } => Some(index + 1),
        _ => None,
    });
    last.unwrap_or(0)
}

fn serving_address(events: &SharedEvents) -> Option<String> {
    let events = events.lock();
    events.iter().rev().find_map(|event| match &event.kind {
        caller_client::CallerEventKind::Connected { address, .. } => Some(address.clone()),
        _ => None,
    })
}

async fn print_timeline(cluster: &cluster::DemoCluster, deaths: &DemoDeaths, key: &str) {
    let mut events = deaths.router_events.clone();
    for router in &cluster.routers {
        events.extend(cluster.events(router).await.unwrap_or_default());
    }
    events.retain(|event| event.request.as_deref() == Some(key));
    println!("time line of {key} over all routers:");
    for mut event in timeline::merge(vec![events]) {
        event.request = None;
        println!("  {event}");
    }
}

async fn judge(
    cluster: &cluster::DemoCluster,
    deaths: &DemoDeaths,
    answer: &caller_client::CallerAnswer,
    events: &SharedEvents,
) -> Result<outcome::DemoOutcome> {
    let mut computed = deaths.engine_tokens;
    for engine in &cluster.engines {
        if engine.name != deaths.engine_name {
            computed += cluster.engine_stats(engine).await?.tokens_computed;
        }
    }
    let (missing, repeated) = outcome::count_positions(&answer.tokens, MAX_TOKENS as usize);
    let events = events.lock();
    let no_token = || eyre::eyre!("no token came after {}'s death", deaths.router_name);
    Ok(outcome::DemoOutcome {
        tokens: answer.tokens.len(),
        missing,
        repeated,
        wrong: outcome::first_fault(PROMPT, &answer.tokens),
        restarts: answer.restarts,
        engine_resume_ms: outcome::resume_ms(&events, deaths.engine).ok_or_else(no_token)?,
        router_resume_ms: outcome::resume_ms(&events, deaths.router).ok_or_else(no_token)?,
        extra_tokens: computed.saturating_sub(answer.tokens.len() as u64),
    })
}
