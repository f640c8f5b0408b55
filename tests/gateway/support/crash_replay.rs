//! Simulates endpoints that crash while they run prompts, and routers that report the losses. Nothing
//! here does I/O; the decisions are those of the product.

use std::collections;

use kumquatpulley::process::gateway::{
    block_list, boot_clock, crash_ledger, crash_record, feature_success,
};
use kumquatpulley::request::relay::{request_feature, request_guard};

use crate::support::crash_features;

/// Time from which the cause acts; before it, prompts with the old parts are answered.
const CHANGE_MS: u64 = 20_000;

/// End of a replay.
const END_MS: u64 = 45_000;

/// Crashes after which a replay ends.
const MAX_CRASHES: usize = 60;

/// Time in which routers in touch must act on what they know.
const CONTACT_MS: u64 = 3_000;

/// Time in which an endpoint reads a prompt.
const PREFILL_MS: u64 = 1_000;

/// Time from the beginning of a run to the crash that a whole request causes.
const REQUEST_CRASH_MS: u64 = 20;

const EVENT_GAP_MS: u64 = 50;
const EVENTS: u64 = 20;

/// Longest time from a loss to its report, as routers probe the endpoint first.
const MAX_REPORT_MS: u64 = 8;

/// Time from the first suspicion to the decision.
const SETTLE_MS: u64 = 100;

/// Pause of a prompt that finds no endpoint.
const WAIT_MS: u64 = 50;

/// Attempts of a prompt.
const MAX_ATTEMPTS: u32 = 5;

/// Pause between two prompts of the kind that crashes endpoints.
const DEADLY_PAUSE_MS: u64 = 2_000;

/// Sessions whose prompts have a part of their own after the shared ones.
const SESSIONS: u64 = 40;

const OLD_FIRST_PART: u64 = 1;
const NEW_FIRST_PART: u64 = 2;
const DEADLY_PART: u64 = 7;
const MIDDLE_PARTS: u64 = 100;
const SESSION_PARTS: u64 = 1_000;
const TAIL_POOL: u64 = 10_000;
const DEADLY_TAIL_POOL: u64 = 20_000;

/// Shared parts of a long tail, and parts from which they are drawn.
const TAIL_PARTS: usize = 40;
const TAIL_POOL_PARTS: u64 = 60;

/// What crashes endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCause {
    /// Endpoints of one zone after the other end for another reason.
    Zones {
        /// Number of zones that end, one second after the other.
        count: u64,
        /// Time within which the endpoints of a zone end.
        spread_ms: u64,
    },
    /// One endpoint crashes on each prompt that it has read.
    Endpoint,
    /// A request that comes again crashes each endpoint that begins to run it.
    Request,
    /// A part of prompts, no two alike, at this place among their parts.
    Part {
        /// Shared parts before it.
        place: u64,
        /// Events that are sent before the crash.
        events: u64,
    },
}

/// Shared parts at the end of all prompts, of which there are [`TAIL_PARTS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptTail {
    /// None.
    Empty,
    /// No two prompts have one of them in common.
    Own,
    /// Drawn from a pool for all prompts.
    Drawn,
    /// Drawn from a pool for prompts with the cause, and from another one for sound prompts.
    DrawnByKind,
}

/// One kind of crash.
#[derive(Clone, Copy, Debug)]
pub struct CrashCell {
    pub cause: CrashCause,
    pub tail: PromptTail,
    /// Whether the first part of all prompts was never answered before the cause acts.
    pub has_new_first: bool,
    /// Whether requests with the cause were answered before it acts.
    pub has_worked: bool,
    pub endpoints: u64,
    pub zones: u64,
    /// Time until an endpoint that crashed is back.
    pub down_ms: u64,
    /// Pause between two sound prompts.
    pub pause_ms: u64,
}

/// What a replay counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashCounts {
    pub crashes: usize,
    /// Requests with the cause that were sent later than the rules allow.
    pub late: usize,
    /// Sound prompts that came once the crashes had to be over.
    pub sound: usize,
    /// Those of them that were refused as blocked.
    pub blocked: usize,
}

#[derive(Clone, Debug)]
struct ReplayedPrompt {
    number: u64,
    is_deadly: bool,
    arrived_ms: u64,
    features: Vec<request_feature::RequestFeature>,
    attempts: u32,
}

#[derive(Clone, Debug)]
struct ReplayedRun {
    prompt: ReplayedPrompt,
    sent_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct ReplayedEndpoint {
    /// Number of starts.
    life: u64,
    back_ms: u64,
    runs: Vec<ReplayedRun>,
}

#[derive(Clone, Debug)]
enum ReplayStep {
    SoundArrival,
    DeadlyArrival,
    Placement(ReplayedPrompt),
    /// The third event of a run, or its crash, at an endpoint in one life of it.
    Progress {
        endpoint: usize,
        life: u64,
        number: u64,
        is_crash: bool,
    },
    ZoneEnd(u64),
    EndpointEnd(usize),
    Report {
        record: crash_record::CrashRecord,
        prompt: ReplayedPrompt,
    },
    Verdict {
        prompt: ReplayedPrompt,
        crashed_at: boot_clock::BootInstant,
    },
}

struct CrashReplay {
    cell: CrashCell,
    random: fastrand::Rng,
    steps: collections::BTreeMap<(u64, u64), ReplayStep>,
    next_number: u64,
    now_ms: u64,
    endpoints: Vec<ReplayedEndpoint>,
    ledger: crash_ledger::CrashLedger,
    blocks: block_list::BlockList,
    crashes: Vec<u64>,
    deadly_sends: Vec<u64>,
    /// Arrival of each sound prompt, and whether it was refused as blocked.
    sound: collections::BTreeMap<u64, (u64, bool)>,
}

/// Plays `cell` with this seed.
pub fn replay(cell: CrashCell, seed: u64) -> CrashCounts {
    let mut replay = CrashReplay {
        cell,
        random: fastrand::Rng::with_seed(seed),
        steps: collections::BTreeMap::new(),
        next_number: 1,
        now_ms: 0,
        endpoints: vec![ReplayedEndpoint::default(); usize::try_from(cell.endpoints).expect("few")],
        ledger: crash_ledger::CrashLedger::default(),
        blocks: block_list::BlockList::default(),
        crashes: Vec::new(),
        deadly_sends: Vec::new(),
        sound: collections::BTreeMap::new(),
    };
    replay.schedule_causes();
    while let Some(((now_ms, _order), step)) = replay.steps.pop_first() {
        if now_ms > END_MS || replay.crashes.len() > MAX_CRASHES {
            break;
        }
        replay.now_ms = now_ms;
        replay.take_step(step);
    }
    replay.counts()
}

impl CrashReplay {
    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn schedule(&mut self, at_ms: u64, step: ReplayStep) {
        let order = self.number();
        self.steps.insert((at_ms, order), step);
    }

    fn schedule_causes(&mut self) {
        let first_ms = self.random.u64(5_000..5_000 + self.cell.pause_ms);
        self.schedule(first_ms, ReplayStep::SoundArrival);
        match self.cell.cause {
            CrashCause::Zones { count, .. } => {
                let first_ms = CHANGE_MS + self.random.u64(100..950);
                for zone in 0..count.min(self.cell.zones) {
                    self.schedule(first_ms + zone * 1_000, ReplayStep::ZoneEnd(zone));
                }
            }
            CrashCause::Endpoint => {}
            CrashCause::Request | CrashCause::Part { .. } => {
                let begin_ms = if self.cell.has_worked {
                    6_000
                } else {
                    CHANGE_MS
                };
                let first_ms = begin_ms + self.random.u64(..DEADLY_PAUSE_MS);
                self.schedule(first_ms, ReplayStep::DeadlyArrival);
            }
        }
    }

    fn take_step(&mut self, step: ReplayStep) {
        match step {
            ReplayStep::SoundArrival => {
                let pause_ms = self.random.u64(1..2 * self.cell.pause_ms);
                self.schedule(self.now_ms + pause_ms, ReplayStep::SoundArrival);
                self.arrive(false);
            }
            ReplayStep::DeadlyArrival => {
                let pause_ms = DEADLY_PAUSE_MS;
                self.schedule(self.now_ms + pause_ms, ReplayStep::DeadlyArrival);
                self.arrive(true);
            }
            ReplayStep::Placement(prompt) => self.place(prompt),
            ReplayStep::Progress {
                endpoint,
                life,
                number,
                is_crash,
            } => self.progress(endpoint, life, number, is_crash),
            ReplayStep::ZoneEnd(zone) => self.end_zone(zone),
            ReplayStep::EndpointEnd(endpoint) => self.crash(endpoint),
            ReplayStep::Report { record, prompt } => self.report(record, prompt),
            ReplayStep::Verdict { prompt, crashed_at } => self.conclude(prompt, crashed_at),
        }
    }

    /// Shared parts of a prompt, without those of its kind or session.
    fn first_parts(&self) -> Vec<u64> {
        let is_new = self.cell.has_new_first && self.now_ms >= CHANGE_MS;
        let first = if is_new {
            NEW_FIRST_PART
        } else {
            OLD_FIRST_PART
        };
        let middle = match self.cell.cause {
            CrashCause::Part { place, .. } => 1..place,
            _ => 1..1,
        };
        let middle = middle.map(|place| MIDDLE_PARTS * first + place);
        std::iter::once(first).chain(middle).collect()
    }

    fn arrive(&mut self, is_deadly: bool) {
        let number = self.number();
        let session = SESSION_PARTS + self.random.u64(..SESSIONS);
        let mut parts = self.first_parts();
        let body = match (is_deadly, self.cell.cause) {
            (true, CrashCause::Request) => "deadly".to_owned(),
            (true, CrashCause::Part { place, .. }) => {
                if place == 0 {
                    parts = vec![DEADLY_PART, session];
                } else {
                    parts.push(DEADLY_PART);
                }
                format!("notes {number}")
            }
            _ => {
                parts.push(session);
                format!("notes {number}")
            }
        };
        parts.extend(self.tail(is_deadly));
        let parts = parts.into_iter().map(request_feature::RequestFeature);
        let prompt = ReplayedPrompt {
            number,
            is_deadly,
            arrived_ms: self.now_ms,
            features: std::iter::once(crash_features::whole(&body))
                .chain(parts)
                .collect(),
            attempts: 0,
        };
        if !is_deadly {
            self.sound.insert(number, (self.now_ms, false));
        }
        self.place(prompt);
    }

    fn tail(&mut self, is_deadly: bool) -> Vec<u64> {
        let pool = match self.cell.tail {
            PromptTail::Empty => return Vec::new(),
            PromptTail::Own => {
                let own = std::iter::repeat_with(|| self.random.u64(..));
                return own.take(TAIL_PARTS).collect();
            }
            PromptTail::DrawnByKind if is_deadly => DEADLY_TAIL_POOL,
            PromptTail::Drawn | PromptTail::DrawnByKind => TAIL_POOL,
        };
        self.random
            .choose_multiple(pool..pool + TAIL_POOL_PARTS, TAIL_PARTS)
    }

    fn is_deadly_now(&self, prompt: &ReplayedPrompt) -> bool {
        prompt.is_deadly && self.now_ms >= CHANGE_MS
    }

    /// Sends a prompt to any endpoint that is up, unless it is blocked.
    fn place(&mut self, mut prompt: ReplayedPrompt) {
        if self
            .blocks
            .block_left(&prompt.features, self.now_ms)
            .is_some()
        {
            if let Some((_arrived, is_blocked)) = self.sound.get_mut(&prompt.number) {
                *is_blocked = true;
            }
            return;
        }
        let endpoints = self.endpoints.iter().enumerate();
        let up = endpoints.filter(|(_index, endpoint)| endpoint.back_ms <= self.now_ms);
        let up: Vec<usize> = up.map(|(index, _endpoint)| index).collect();
        let Some(index) = self.random.choice(up) else {
            if self.now_ms < prompt.arrived_ms + 5_000 {
                self.schedule(self.now_ms + WAIT_MS, ReplayStep::Placement(prompt));
            }
            return;
        };
        prompt.attempts += 1;
        let is_deadly = self.is_deadly_now(&prompt);
        if is_deadly {
            self.deadly_sends.push(self.now_ms);
        }
        let is_broken = self.cell.cause == CrashCause::Endpoint && index == 0;
        let is_broken = is_broken && self.now_ms >= CHANGE_MS;
        let after_ms = match self.cell.cause {
            CrashCause::Request if is_deadly => REQUEST_CRASH_MS,
            CrashCause::Part { events, .. } if is_deadly => PREFILL_MS + events * EVENT_GAP_MS,
            _ if is_broken => PREFILL_MS,
            _ => PREFILL_MS + request_guard::MAX_CRASH_EVENTS * EVENT_GAP_MS,
        };
        let endpoint = &mut self.endpoints[index];
        let step = ReplayStep::Progress {
            endpoint: index,
            life: endpoint.life,
            number: prompt.number,
            is_crash: is_deadly || is_broken,
        };
        endpoint.runs.push(ReplayedRun {
            prompt,
            sent_ms: self.now_ms,
        });
        self.schedule(self.now_ms + after_ms, step);
    }

    fn progress(&mut self, index: usize, life: u64, number: u64, is_crash: bool) {
        let endpoint = &self.endpoints[index];
        let mut runs = endpoint.runs.iter();
        let Some(run) = runs.find(|run| run.prompt.number == number && endpoint.life == life)
        else {
            return;
        };
        if is_crash {
            return self.crash(index);
        }
        for feature in run.prompt.features.clone() {
            let at = crash_features::at(self.now_ms);
            let success = feature_success::FeatureSuccess { feature, at };
            self.ledger.record_success(success);
        }
    }

    fn end_zone(&mut self, zone: u64) {
        let CrashCause::Zones { spread_ms, .. } = self.cell.cause else {
            return;
        };
        for index in 0..self.endpoints.len() {
            if index as u64 % self.cell.zones == zone {
                let delay_ms = self.random.u64(..=spread_ms);
                self.schedule(self.now_ms + delay_ms, ReplayStep::EndpointEnd(index));
            }
        }
    }

    /// Ends an endpoint; routers report the runs whose answer had just begun, or had not.
    fn crash(&mut self, index: usize) {
        if self.endpoints[index].back_ms > self.now_ms {
            return;
        }
        self.crashes.push(self.now_ms);
        let endpoint = &mut self.endpoints[index];
        let name = index as u64 + 100 * endpoint.life;
        endpoint.life += 1;
        endpoint.back_ms = self.now_ms + self.cell.down_ms;
        for run in std::mem::take(&mut endpoint.runs) {
            let running_ms = self.now_ms - run.sent_ms;
            if running_ms >= PREFILL_MS + EVENTS * EVENT_GAP_MS {
                continue;
            }
            let record = crash_record::CrashRecord {
                request: run.prompt.number,
                endpoint: name,
                features: run.prompt.features.clone(),
                sent_at: crash_features::at(run.sent_ms),
                crashed_at: crash_features::at(self.now_ms),
            };
            let events = running_ms.saturating_sub(PREFILL_MS) / EVENT_GAP_MS;
            if events > request_guard::MAX_CRASH_EVENTS {
                self.schedule(self.now_ms + 1, ReplayStep::Placement(run.prompt));
                continue;
            }
            let report_ms = self.now_ms + self.random.u64(1..=MAX_REPORT_MS);
            let prompt = run.prompt;
            self.schedule(report_ms, ReplayStep::Report { record, prompt });
        }
    }

    fn report(&mut self, record: crash_record::CrashRecord, prompt: ReplayedPrompt) {
        let crashed_at = record.crashed_at;
        self.ledger
            .record_crash(record, crash_features::at(self.now_ms));
        let suspects = self.ledger.suspects_until(&prompt.features, crashed_at);
        let wait_ms = if suspects.is_empty() { 0 } else { SETTLE_MS };
        let verdict = ReplayStep::Verdict { prompt, crashed_at };
        self.schedule(self.now_ms + wait_ms, verdict);
    }

    fn conclude(&mut self, prompt: ReplayedPrompt, crashed_at: boot_clock::BootInstant) {
        for suspect in self.ledger.suspects_until(&prompt.features, crashed_at) {
            self.blocks.block(suspect, self.now_ms);
        }
        if prompt.attempts < MAX_ATTEMPTS {
            self.place(prompt);
        }
    }

    fn counts(&self) -> CrashCounts {
        let to_learn = match self.cell.cause {
            CrashCause::Request => 3,
            _ => 5,
        };
        let known_ms = self.crashes.get(to_learn - 1).copied();
        let last_ms = known_ms.or(self.crashes.last().copied());
        let calm_ms = last_ms.unwrap_or(CHANGE_MS) + 2 * CONTACT_MS;
        let sound = self.sound.values();
        let sound: Vec<bool> = sound
            .filter(|(arrived_ms, _blocked)| calm_ms < *arrived_ms)
            .map(|(_arrived, is_blocked)| *is_blocked)
            .collect();
        CrashCounts {
            crashes: self.crashes.len(),
            late: known_ms.map_or(0, |known_ms| {
                let sends = self.deadly_sends.iter();
                sends.filter(|sent| known_ms + CONTACT_MS < **sent).count()
            }),
            sound: sound.len(),
            blocked: sound.iter().filter(|is_blocked| **is_blocked).count(),
        }
    }
}
