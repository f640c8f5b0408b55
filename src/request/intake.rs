//! Finds the generation for a request: joins it, takes it over, reattaches to it or starts it.

use std::sync;
use std::time;

use async_std::task;

use crate::connection::peer;
use crate::connection::peer_wire;
use crate::process::registry;
use crate::process::telemetry::timeline;
use crate::process::view;
use crate::request::cursor;
use crate::request::driver;
use crate::request::generation;
use crate::request::key;
use crate::request::reader;
use crate::request::recovery;
use crate::request::source;
use crate::request::verdict;

/// Timeout for asking the router that holds a generation to hand it over.
const TAKE_OVER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time for which an ended generation stays readable.
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// Maximum number of attempts to notify an unreachable router of a takeover.
const MAX_NOTIFY_ATTEMPTS: u32 = 10;

/// Delay before each attempt to notify an unreachable router.
const NOTIFY_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Request to start or resume a generation.
#[derive(Clone, Debug)]
pub struct IntakeRequest {
    /// Parameters of the generation, as requested by the caller.
    pub spec: generation::GenerationSpec,
    /// Idempotency key; its home is the router to take over from unless the generation moved.
    pub key: key::RequestKey,
    /// Model version that the declarations currently specify.
    pub version: String,
    /// Position at which the caller's stream was interrupted; `None` for a new stream.
    pub cursor: Option<cursor::StreamCursor>,
    /// Tokens that the caller received up to its cursor; `None` if it sent none.
    pub received: Option<Vec<String>>,
}

/// Finds, resumes or starts generations.
#[derive(Clone, Debug)]
pub struct GenerationIntake {
    /// Context shared by all drivers.
    pub context: driver::DriverContext,
    /// Generations known to this process.
    pub registry: sync::Arc<registry::GenerationRegistry>,
    /// Transport for queries to other routers.
    pub link: sync::Arc<dyn peer::PeerLink>,
    /// Membership of the routers, including this one.
    pub members: sync::Arc<dyn view::MemberView>,
}

/// How to start or continue a generation that this process does not yet run.
struct IntakePlan {
    id: cursor::GenerationId,
    version: String,
    tokens: Vec<String>,
    start: driver::GenerationStart,
    finish_reason: Option<String>,
}

impl GenerationIntake {
    /// Returns a reader of the generation, starting at the request's cursor.
    ///
    /// # Errors
    /// A refusal if the key was used for another request.
    pub async fn open(&self, request: IntakeRequest) -> verdict::Result<reader::GenerationReader> {
        let name = registry::RecordName::of(&request.spec);
        let mut holder = request.key.home().map(|home| home.router.clone());
        if let Some(record) = self.registry.find(&name) {
            match record.phase() {
                generation::GenerationPhase::Running
                | generation::GenerationPhase::Finished { .. } => {
                    return self.join(&record, &request);
                }
                generation::GenerationPhase::Moved { router } => {
                    holder = router.or(holder);
                    self.registry.remove(&record);
                }
                generation::GenerationPhase::Failed(_) | generation::GenerationPhase::Cancelled => {
                    self.registry.remove(&record);
                }
            }
        }
        let plan = match self.take_over(&request, holder.as_deref()).await {
            Some(wire) => plan_from_holder(wire),
            None => plan_from_caller(&request),
        };
        self.launch(&request, plan)
    }

    fn join(
        &self,
        record: &sync::Arc<generation::GenerationRecord>,
        request: &IntakeRequest,
    ) -> verdict::Result<reader::GenerationReader> {
        if record.spec.start_hash() != request.spec.start_hash() {
            return Err(verdict::RequestRefusal::not_run(
                422,
                verdict::RefusalCode::KeyReused,
                "the idempotency key was used for another request; create a new key",
            ));
        }
        self.context.counters.count("generation.joined");
        self.record_resume(request);
        Ok(reader::GenerationReader::new(
            record,
            request.cursor.as_ref(),
        ))
    }

    /// Asks the router that holds the generation to hand it over.
    async fn take_over(
        &self,
        request: &IntakeRequest,
        holder: Option<&str>,
    ) -> Option<peer_wire::TakeOverWire> {
        let holder = holder?;
        let own = self.members.home().router;
        if holder == own {
            return None;
        }
        let query = peer_wire::QueryBody::TakeOver {
            key: request.spec.key.clone(),
            workspace: request.spec.workspace.clone(),
            router: own,
        };
        let member = self.members.find(holder)?;
        let reply = self
            .link
            .ask(&member.peer_address, query.clone(), TAKE_OVER_TIMEOUT)
            .await;
        match reply {
            Ok(peer_wire::ReplyBody::TakeOver(wire)) => wire,
            Ok(_) => None,
            Err(_unreachable) => {
                let link = sync::Arc::clone(&self.link);
                task::spawn(notify_later(link, member.peer_address, query));
                None
            }
        }
    }

    fn launch(
        &self,
        request: &IntakeRequest,
        plan: IntakePlan,
    ) -> verdict::Result<reader::GenerationReader> {
        self.record_resume(request);
        let policy = recovery::policy(request.spec.recovery);
        let spec = request.spec.clone();
        let (record, receiver) =
            generation::GenerationRecord::new(spec, plan.id, plan.version, plan.tokens);
        if let Err(present) = self.registry.insert(&record) {
            return self.join(&present, request);
        }
        let reader = reader::GenerationReader::new(&record, request.cursor.as_ref());
        if let Some(reason) = plan.finish_reason {
            record.end(generation::GenerationPhase::Finished { reason });
        }
        let context = self.context.clone();
        let driver =
            driver::GenerationDriver::new(context, sync::Arc::clone(&record), policy, receiver);
        let registry = sync::Arc::clone(&self.registry);
        task::spawn(async move {
            driver.run(plan.start).await;
            task::sleep(RETENTION).await;
            registry.remove(&record);
        });
        Ok(reader)
    }

    fn record_resume(&self, request: &IntakeRequest) {
        let Some(cursor) = &request.cursor else {
            return;
        };
        let event = timeline::EventKind::Resumed {
            position: cursor.position,
        };
        self.context.ring.record(Some(&request.spec.key), event);
        self.context.counters.count("generation.resumed_by_cursor");
    }

    /// Hands a generation over to another router, which then continues it.
    pub async fn hand_over(
        &self,
        workspace: String,
        key: String,
        router: String,
    ) -> Option<peer_wire::TakeOverWire> {
        let record = self
            .registry
            .find(&registry::RecordName { workspace, key })?;
        let wire = record.hand_over();
        if wire.finish_reason.is_none() && wire.attempt == 0 {
            // No attempt has started, so the other router starts the generation from the beginning.
            self.stop(&record, router).await;
            return None;
        }
        self.stop(&record, router).await;
        Some(wire)
    }

    async fn stop(&self, record: &generation::GenerationRecord, router: String) {
        let message = source::DriverMessage::HandOver { router };
        // Sending fails if the driver has ended, which needs no handling.
        let _ended = record.sender().send(message).await;
    }
}

/// Retries the takeover query until a router that was unreachable learns of the takeover.
async fn notify_later(
    link: sync::Arc<dyn peer::PeerLink>,
    address: String,
    query: peer_wire::QueryBody,
) {
    for _try in 0..MAX_NOTIFY_ATTEMPTS {
        task::sleep(NOTIFY_INTERVAL).await;
        if link
            .ask(&address, query.clone(), TAKE_OVER_TIMEOUT)
            .await
            .is_ok()
        {
            return;
        }
    }
}

fn plan_from_holder(wire: peer_wire::TakeOverWire) -> IntakePlan {
    IntakePlan {
        id: cursor::GenerationId(wire.generation),
        version: wire.model_version,
        tokens: wire.tokens,
        start: driver::GenerationStart::Attach {
            attempt: cursor::AttemptId(wire.attempt),
            endpoint: wire.endpoint,
        },
        finish_reason: wire.finish_reason,
    }
}

fn plan_from_caller(request: &IntakeRequest) -> IntakePlan {
    let Some(cursor) = &request.cursor else {
        return IntakePlan {
            id: cursor::GenerationId::random(),
            version: request.version.clone(),
            tokens: Vec::new(),
            start: driver::GenerationStart::Fresh,
            finish_reason: None,
        };
    };
    let start = driver::GenerationStart::Attach {
        attempt: cursor.attempt,
        endpoint: cursor.endpoint.clone(),
    };
    IntakePlan {
        id: cursor.generation,
        version: cursor.model_version.clone(),
        tokens: verified_tokens(request, cursor),
        start,
        finish_reason: None,
    }
}

/// Tokens received by the caller, if they match the cursor's hash; otherwise empty.
fn verified_tokens(request: &IntakeRequest, cursor: &cursor::StreamCursor) -> Vec<String> {
    let Some(received) = &request.received else {
        return Vec::new();
    };
    let is_long_enough = received.len() >= cursor.position as usize;
    let tokens: Vec<String> = received
        .iter()
        .take(cursor.position as usize)
        .cloned()
        .collect();
    let start = request.spec.start_hash();
    let hash = tokens.iter().fold(start, |hash, token| hash.then(token));
    if is_long_enough && hash == cursor.hash {
        tokens
    } else {
        Vec::new()
    }
}
