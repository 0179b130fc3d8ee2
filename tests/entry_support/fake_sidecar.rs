//! A fake sidecar whose behavior is set by the test.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use lilacspindle::model::*;
use lilacspindle::rpc::Stamp;
use lilacspindle::rpc::sidecar::*;
use tarpc::context::Context;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// What the fake sidecar does with each start.
#[derive(Debug, Clone)]
pub enum Behavior {
    /// Produces the tokens `t0 t1 ..`, then finishes. At token `stall_at` it stops producing and
    /// does not finish.
    Tokens {
        count: u32,
        step_ms: u64,
        stall_at: Option<u32>,
    },
    /// Produces `after` tokens, then fails with this outcome.
    Fail {
        after: u32,
        outcome: Outcome,
    },
    Refuse(RefusalCode),
    /// Does not answer the start; runs it if `runs` is true.
    NoAnswer {
        runs: bool,
    },
}

#[derive(Debug, Default)]
struct Produced {
    workspace: Option<WorkspaceName>,
    reader: Option<InstanceRef>,
    tokens: Vec<String>,
    end: Option<End>,
}

#[derive(Default)]
/// What a fake sidecar has received and done.
pub struct Recorded {
    pub starts: Vec<StartRequest>,
    pub calls: Vec<CallRequest>,
    pub readopts: Vec<ReadoptRequest>,
    pub cancels: Vec<GenerationId>,
    /// Number of times that each generation was run.
    pub runs: BTreeMap<GenerationId, u32>,
    produced: BTreeMap<GenerationId, Produced>,
    answers: BTreeMap<GenerationId, ServiceResponse>,
    tombstones: BTreeSet<GenerationId>,
    polls: u64,
    /// Generations of which a poll was answered that they are unknown.
    pub unknown: BTreeSet<GenerationId>,
    /// Generations that were polled while they were known.
    polled: BTreeSet<GenerationId>,
}

pub struct FakeSidecar {
    pub me: InstanceRef,
    pub upstream: UpstreamName,
    pub behavior: Mutex<Behavior>,
    /// If true, poll replies contain each update twice, and chunks start at wrong offsets.
    pub scrambles_replies: bool,
    /// Whether the engine still has the stream when a readopt request asks for it.
    pub adopts: bool,
    /// If set, a start waits until a poll of its generation was answered `unknown`, and that answer
    /// is sent this long after the generation was polled again.
    pub late_unknown_ms: Option<u64>,
    /// Whether polls that ask for an immediate reply get none.
    pub ignores_lookups: bool,
    pub leaving: Mutex<bool>,
    /// Number of next service calls that are run but not answered.
    pub unanswered_calls: Mutex<u32>,
    /// Whether service calls are refused for overload.
    pub refuse_calls: Mutex<bool>,
    pub recorded: Mutex<Recorded>,
    changed: Notify,
    was_polled: Notify,
}

#[derive(Clone)]
pub struct FakeSidecarService(pub Arc<FakeSidecar>);

pub fn tokens(count: u32) -> Behavior {
    Behavior::Tokens {
        count,
        step_ms: 2,
        stall_at: None,
    }
}

impl FakeSidecar {
    pub fn new(name: &str, incarnation: u64, behavior: Behavior) -> Self {
        Self {
            me: InstanceRef {
                name: name.into(),
                incarnation: Incarnation(incarnation),
            },
            upstream: format!("{name}-engine").as_str().into(),
            behavior: Mutex::new(behavior),
            scrambles_replies: false,
            adopts: true,
            late_unknown_ms: None,
            ignores_lookups: false,
            leaving: Mutex::new(false),
            unanswered_calls: Mutex::new(0),
            refuse_calls: Mutex::new(false),
            recorded: Mutex::default(),
            changed: Notify::new(),
            was_polled: Notify::new(),
        }
    }

    pub fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().unwrap()
    }

    fn stamp(&self) -> Stamp {
        Stamp {
            sender: self.me.clone(),
            table_version: TableVersion(1),
            leaving: *self.leaving.lock().unwrap(),
        }
    }

    fn load(&self) -> LoadReport {
        let load = |name: UpstreamName| UpstreamLoad {
            upstream: name,
            healthy: true,
            leaving: false,
            versions: vec!["v1".to_owned()],
            running: 0,
            queued: 0,
            used_tokens: 0,
            capacity_tokens: 10_000,
            backlog_tokens: 0,
            tokens_per_s: 0,
        };
        let service = UpstreamName::from(format!("{}-service", self.me.name).as_str());
        LoadReport {
            upstreams: vec![load(self.upstream.clone()), load(service)],
            fence: Fence(1),
        }
    }

    fn begin(self: &Arc<Self>, start: &StartRequest) {
        let mut recorded = self.recorded();
        let entry = recorded.produced.entry(start.generation).or_default();
        if entry.workspace.is_some() {
            return;
        }
        entry.workspace = Some(start.workspace.clone());
        *recorded.runs.entry(start.generation).or_default() += 1;
        drop(recorded);
        let (fake, generation) = (Arc::clone(self), start.generation);
        let behavior = self.behavior.lock().unwrap().clone();
        tokio::spawn(async move { fake.produce(generation, behavior, 0).await });
    }

    async fn produce(&self, generation: GenerationId, behavior: Behavior, from: u32) {
        let (count, step_ms, stall_at, end) = match behavior {
            Behavior::Tokens {
                count,
                step_ms,
                stall_at,
            } => (
                count,
                step_ms,
                stall_at,
                End::Finished {
                    reason: "stop".to_owned(),
                },
            ),
            Behavior::Fail { after, outcome } => {
                let refusal = refusal(RefusalCode::UpstreamLost);
                (after, 2, None, End::Failed { outcome, refusal })
            }
            Behavior::Refuse(_) | Behavior::NoAnswer { .. } => (
                0,
                0,
                Some(0),
                End::Finished {
                    reason: String::new(),
                },
            ),
        };
        for index in from..count {
            if stall_at == Some(index) {
                return;
            }
            sleep(Duration::from_millis(step_ms)).await;
            let mut recorded = self.recorded();
            let Some(produced) = recorded.produced.get_mut(&generation) else {
                return;
            };
            if produced.end.is_some() {
                return;
            }
            produced.tokens.push(format!("t{index} "));
            drop(recorded);
            self.changed.notify_waiters();
        }
        if let Some(produced) = self.recorded().produced.get_mut(&generation) {
            produced.end.get_or_insert(end);
        }
        self.changed.notify_waiters();
    }

    /// Waits until the polls so far meet a condition, at most 10 s.
    async fn wait_until_polled(&self, condition: impl Fn(&Recorded) -> bool) {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let polled = self.was_polled.notified();
            if condition(&self.recorded()) {
                return;
            }
            let _ = tokio::time::timeout_at(end, polled).await;
        }
    }

    fn updates(&self, request: &PollRequest) -> (Vec<StreamUpdate>, bool) {
        let recorded = &mut *self.recorded();
        recorded.polls += 1;
        let poll = recorded.polls;
        let mut has_updates = false;
        let mut updates = Vec::new();
        for cursor in &request.cursors {
            if let Some(produced) = recorded.produced.get_mut(&cursor.generation) {
                produced.reader = Some(request.stamp.sender.clone());
                recorded.polled.insert(cursor.generation);
                self.was_polled.notify_waiters();
            }
            let known = recorded.produced.get(&cursor.generation);
            let known =
                known.filter(|produced| produced.workspace.as_ref() == Some(&cursor.workspace));
            let mut update = StreamUpdate {
                generation: cursor.generation,
                chunk: None,
                end: None,
                origin: None,
                unknown: known.is_none(),
            };
            has_updates |= known.is_none();
            if known.is_none() {
                recorded.unknown.insert(cursor.generation);
                self.was_polled.notify_waiters();
            }
            if let Some(produced) = known {
                let from = cursor.from_offset as usize;
                update.origin = (from == 0).then(|| Origin {
                    upstream: self.upstream.clone(),
                    engine_stream: cursor.generation.to_string(),
                });
                let total = u32::try_from(produced.tokens.len()).unwrap();
                update.end = produced.end.clone().map(|end| (total, end));
                if produced.tokens.len() > from || produced.end.is_some() {
                    has_updates = true;
                    // Scrambled chunks start as if they answered another poll.
                    let from = match self.scrambles_replies {
                        true if poll.is_multiple_of(3) => from.saturating_sub(2),
                        true if poll.is_multiple_of(5) => (from + 1).min(produced.tokens.len()),
                        _ => from,
                    };
                    update.chunk = Some(Chunk {
                        offset: u32::try_from(from).unwrap(),
                        tokens: produced.tokens[from.min(produced.tokens.len())..].to_vec(),
                    });
                }
            }
            if self.scrambles_replies {
                updates.push(update.clone());
            }
            updates.push(update);
        }
        (updates, has_updates)
    }
}

fn refusal(code: RefusalCode) -> Refusal {
    Refusal {
        code,
        message: "as planned".to_owned(),
        retry_after_ms: Some(1_500),
    }
}

impl Sidecar for FakeSidecarService {
    async fn ping(self, _: Context) {}

    async fn start(self, _: Context, request: StartRequest) -> StartReply {
        let (stamp, load) = (self.0.stamp(), self.0.load());
        if request.incarnation != self.0.me.incarnation {
            return StartReply::WrongIncarnation { stamp };
        }
        self.0.recorded().starts.push(request.clone());
        if self.0.recorded().tombstones.contains(&request.generation) {
            return StartReply::Refused {
                stamp,
                refusal: refusal(RefusalCode::Cancelled),
                load,
            };
        }
        if self.0.late_unknown_ms.is_some() {
            let is_unknown = |recorded: &Recorded| recorded.unknown.contains(&request.generation);
            self.0.wait_until_polled(is_unknown).await;
        }
        let behavior = self.0.behavior.lock().unwrap().clone();
        match behavior {
            Behavior::Refuse(code) => {
                self.0.recorded().tombstones.insert(request.generation);
                return StartReply::Refused {
                    stamp,
                    refusal: refusal(code),
                    load,
                };
            }
            Behavior::NoAnswer { runs } => {
                if runs {
                    self.0.begin(&request);
                }
                sleep(Duration::from_mins(1)).await;
            }
            _ => self.0.begin(&request),
        }
        StartReply::Accepted { stamp, load }
    }

    async fn poll(self, _: Context, request: PollRequest) -> PollReply {
        if request.hold_ms == 0 && self.0.ignores_lookups {
            sleep(Duration::from_mins(1)).await;
        }
        let until = Instant::now() + Duration::from_millis(request.hold_ms);
        loop {
            let changed = self.0.changed.notified();
            let (updates, has_updates) = self.0.updates(&request);
            let unknown = updates.iter().find(|update| update.unknown);
            if let (Some(late_ms), Some(unknown)) = (self.0.late_unknown_ms, unknown) {
                let is_polled = |recorded: &Recorded| recorded.polled.contains(&unknown.generation);
                self.0.wait_until_polled(is_polled).await;
                sleep(Duration::from_millis(late_ms)).await;
            }
            if has_updates || Instant::now() >= until {
                return PollReply {
                    stamp: self.0.stamp(),
                    updates,
                    load: self.0.load(),
                };
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    async fn cancel(self, _: Context, request: CancelRequest) -> CancelReply {
        let stamp = self.0.stamp();
        if request.incarnation != self.0.me.incarnation {
            return CancelReply::WrongIncarnation { stamp };
        }
        let mut recorded = self.0.recorded();
        recorded.cancels.push(request.generation);
        if recorded.answers.contains_key(&request.generation) {
            return CancelReply::Ended { stamp };
        }
        let Some(produced) = recorded.produced.get_mut(&request.generation) else {
            recorded.tombstones.insert(request.generation);
            return CancelReply::NotRun { stamp };
        };
        let produced_tokens = u32::try_from(produced.tokens.len()).unwrap();
        let is_read_elsewhere = produced
            .reader
            .as_ref()
            .is_some_and(|reader| *reader != request.stamp.sender);
        if produced.end.is_some() || is_read_elsewhere {
            return CancelReply::Ended { stamp };
        }
        produced.end = Some(End::Failed {
            outcome: Outcome::Unknown,
            refusal: refusal(RefusalCode::Cancelled),
        });
        CancelReply::Stopped {
            stamp,
            produced_tokens,
        }
    }

    async fn call(self, _: Context, request: CallRequest) -> CallReply {
        let (stamp, load) = (self.0.stamp(), self.0.load());
        if request.incarnation != self.0.me.incarnation {
            return CallReply::WrongIncarnation { stamp };
        }
        self.0.recorded().calls.push(request.clone());
        let has_tombstone = self.0.recorded().tombstones.contains(&request.generation);
        if has_tombstone || *self.0.refuse_calls.lock().unwrap() {
            self.0.recorded().tombstones.insert(request.generation);
            let refusal = refusal(RefusalCode::Overload);
            return CallReply::Refused {
                stamp,
                outcome: Outcome::NotRun,
                refusal,
                load,
            };
        }
        let response = {
            let mut recorded = self.0.recorded();
            let known = recorded.answers.get(&request.generation).cloned();
            known.unwrap_or_else(|| {
                let run = recorded.runs.len();
                *recorded.runs.entry(request.generation).or_default() += 1;
                let body = format!("run {run} of {} {}", request.method, request.path_and_query);
                let headers = vec![("content-type".to_owned(), "text/plain".to_owned())];
                let response = ServiceResponse {
                    status: 201,
                    headers,
                    body: body.into_bytes(),
                };
                recorded
                    .answers
                    .insert(request.generation, response.clone());
                response
            })
        };
        let is_unanswered = {
            let mut unanswered = self.0.unanswered_calls.lock().unwrap();
            let is_unanswered = *unanswered > 0;
            *unanswered = unanswered.saturating_sub(1);
            is_unanswered
        };
        if is_unanswered {
            sleep(Duration::from_mins(1)).await;
        }
        CallReply::Response {
            stamp,
            response,
            load,
        }
    }

    async fn readopt(self, _: Context, request: ReadoptRequest) -> ReadoptReply {
        let stamp = self.0.stamp();
        if request.incarnation != self.0.me.incarnation {
            return ReadoptReply::WrongIncarnation { stamp };
        }
        let generation = request.start.generation;
        let from = request.from_offset;
        let workspace = request.start.workspace.clone();
        self.0.recorded().readopts.push(request);
        if !self.0.adopts {
            return ReadoptReply::Lost { stamp };
        }
        let tokens = (0..from).map(|index| format!("t{index} ")).collect();
        let produced = Produced {
            workspace: Some(workspace),
            reader: None,
            tokens,
            end: None,
        };
        self.0.recorded().produced.insert(generation, produced);
        let behavior = self.0.behavior.lock().unwrap().clone();
        tokio::spawn(async move { self.0.produce(generation, behavior, from).await });
        ReadoptReply::Adopted { stamp }
    }

    async fn probe(self, _: Context, _: ProbeRequest) -> ProbeReply {
        ProbeReply {
            stamp: self.0.stamp(),
            load: self.0.load(),
        }
    }
}
