//! The generations of one shard, with their token logs and their readers.

use std::collections::BTreeMap;
use std::fmt;

use super::{LogError, PastGenerations, PastRecord, Stage, TokenLog};
use crate::model::{GenerationId, RefusalCode, WorkspaceName};
use crate::rpc::sidecar::{Cursor, End, Origin, StreamUpdate};

/// How long a log is kept after its end was delivered to the reader.
pub const STREAM_KEPT_MS: u64 = 30_000;

/// A generation to be accepted.
#[derive(Debug, Clone)]
pub struct NewStream {
    pub workspace: WorkspaceName,
    /// False if no token may be delivered before the answer is complete, so that the generation can
    /// be restarted until then.
    pub shown: bool,
    /// True if the previous incarnation of the sidecar sent this generation and this incarnation
    /// continues it.
    pub sent: bool,
    /// Offset up to which the reader has tokens from the previous incarnation.
    pub read_to: u32,
    pub origin: Origin,
}

#[derive(Debug)]
struct Stream {
    workspace: WorkspaceName,
    shown: bool,
    stage: Stage,
    /// The number of the current run. Incremented when the generation is sent and when it is
    /// restarted.
    run: u32,
    log: TokenLog,
    origin: Origin,
    /// When a reader last polled; initially, when the generation was accepted.
    read_at_ms: u64,
    /// When the end was last delivered to a reader together with all tokens, or the generation was
    /// cancelled.
    end_read_at_ms: Option<u64>,
}

/// The state of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationState {
    New,
    Stream(Stage),
    Past(PastRecord),
}

/// The result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The generation has not run and will not: a tombstone was recorded.
    NotRun,
    /// The generation may be running; the caller must stop it at the engine.
    Stop { produced_tokens: u32 },
    /// The generation had already ended.
    Ended,
}

/// The updates that a poll returns.
#[derive(Debug, Default)]
pub struct PollView {
    pub updates: Vec<StreamUpdate>,
    /// Approximate size of all tokens in the updates.
    pub size_bytes: usize,
}

/// The result of `expire`.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ExpireOutcome {
    /// Generations that no reader has polled for too long; the caller must cancel them.
    pub orphans: Vec<GenerationId>,
}

/// Why a call does not fit the state of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// There is no such generation.
    Unknown,
    /// The generation was accepted before, or cannot be restarted at this stage.
    Restarted(Stage),
    /// The token belongs to a run that was replaced.
    FormerRun {
        run: u32,
        current: u32,
    },
    Log(LogError),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("unknown generation"),
            Self::Restarted(stage) => {
                write!(f, "not possible at stage {stage:?} of the generation")
            }
            Self::FormerRun { run, current } => {
                write!(f, "token of run {run}; the current run is {current}")
            }
            Self::Log(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Violation {}

impl From<LogError> for Violation {
    fn from(error: LogError) -> Self {
        Self::Log(error)
    }
}

/// The generations of one shard.
#[derive(Debug)]
pub struct Generations {
    orphan_ms: u64,
    streams: BTreeMap<GenerationId, Stream>,
    past: PastGenerations,
}

impl Generations {
    /// Returns when a reader last polled a generation; `None` if it is unknown or has ended.
    pub fn read_at_ms(&self, generation: GenerationId) -> Option<u64> {
        let stream = self.streams.get(&generation)?;
        (stream.stage != Stage::Ended).then_some(stream.read_at_ms)
    }

    /// Returns an empty shard. `expire` reports generations that no reader has polled for
    /// `orphan_ms`.
    pub fn new(orphan_ms: u64, max_past: usize) -> Self {
        Self {
            orphan_ms,
            streams: BTreeMap::new(),
            past: PastGenerations::new(max_past),
        }
    }

    /// Returns the state of a generation.
    pub fn state(&self, generation: GenerationId) -> GenerationState {
        match (self.streams.get(&generation), self.past.get(generation)) {
            (Some(stream), _) => GenerationState::Stream(stream.stage),
            (None, Some(record)) => GenerationState::Past(record),
            (None, None) => GenerationState::New,
        }
    }

    /// Adds an accepted generation; fails if it is already known.
    pub fn accept(
        &mut self,
        now_ms: u64,
        generation: GenerationId,
        new: NewStream,
    ) -> Result<(), Violation> {
        match self.state(generation) {
            GenerationState::New => {}
            GenerationState::Stream(stage) => return Err(Violation::Restarted(stage)),
            GenerationState::Past(_) => return Err(Violation::Restarted(Stage::Ended)),
        }
        let mut log = TokenLog::default();
        log.acknowledge(new.read_to);
        let stream = Stream {
            workspace: new.workspace,
            shown: new.shown,
            run: u32::from(new.sent),
            stage: match new.sent {
                true => Stage::Sent,
                false => Stage::Queued,
            },
            log,
            origin: new.origin,
            read_at_ms: now_ms,
            end_read_at_ms: None,
        };
        self.streams.insert(generation, stream);
        Ok(())
    }

    /// Records a tombstone for an unknown generation.
    pub fn refuse(
        &mut self,
        now_ms: u64,
        generation: GenerationId,
        code: RefusalCode,
        retry_after_ms: Option<u64>,
    ) {
        let record = PastRecord::Refused {
            code,
            retry_after_ms,
        };
        self.past.insert(now_ms, generation, record);
    }

    /// Records that a generation is about to be sent to an upstream. Returns the number of the run,
    /// or `None` if the generation is not waiting any more and must not be sent.
    pub fn send(&mut self, generation: GenerationId, origin: Origin) -> Option<u32> {
        let is_waiting = |stream: &&mut Stream| stream.stage < Stage::Sent;
        let stream = self.streams.get_mut(&generation).filter(is_waiting)?;
        stream.stage = Stage::Sent;
        stream.origin = origin;
        stream.run += 1;
        Some(stream.run)
    }

    /// Returns the number of the current run; zero before the first one.
    pub fn run(&self, generation: GenerationId) -> Option<u32> {
        self.streams.get(&generation).map(|stream| stream.run)
    }

    /// Records a generation that ran without a token log in this shard.
    pub fn note_ran(&mut self, now_ms: u64, generation: GenerationId) {
        self.past.insert(now_ms, generation, PastRecord::Ran);
    }

    /// Appends a token of the current run.
    pub fn append(
        &mut self,
        generation: GenerationId,
        run: u32,
        offset: u32,
        token: String,
    ) -> Result<(), Violation> {
        let stream = self.stream(generation)?;
        match stream.run {
            current if current != run => Err(Violation::FormerRun { run, current }),
            _ => Ok(stream.log.append(offset, token)?),
        }
    }

    /// Empties the log of a generation of which no token was delivered. Tokens of the previous run
    /// are no longer accepted.
    pub fn restart(&mut self, generation: GenerationId) -> Result<(), Violation> {
        let stream = self.stream(generation)?;
        if stream.stage != Stage::Sent {
            return Err(Violation::Restarted(stream.stage));
        }
        stream.log.restart()?;
        stream.stage = Stage::Requeued;
        stream.run += 1;
        Ok(())
    }

    /// Ends a generation.
    pub fn finish(&mut self, generation: GenerationId, end: End) -> Result<(), Violation> {
        let stream = self.stream(generation)?;
        stream.log.finish(end)?;
        stream.stage = Stage::Ended;
        Ok(())
    }

    /// Returns the number of tokens of a generation, and how many of them may have been delivered
    /// to a reader.
    pub fn progress(&self, generation: GenerationId) -> Option<(u32, u32)> {
        let stream = self.streams.get(&generation)?;
        Some((stream.log.len(), stream.log.delivered()))
    }

    /// Stops a generation, or prevents it from ever starting.
    pub fn cancel(&mut self, now_ms: u64, generation: GenerationId, end: End) -> Cancelled {
        match self.state(generation) {
            GenerationState::New | GenerationState::Past(PastRecord::Refused { .. }) => {
                self.refuse(now_ms, generation, RefusalCode::Cancelled, None);
                Cancelled::NotRun
            }
            GenerationState::Stream(Stage::Queued) => {
                self.streams.remove(&generation);
                self.refuse(now_ms, generation, RefusalCode::Cancelled, None);
                Cancelled::NotRun
            }
            GenerationState::Stream(Stage::Requeued | Stage::Sent) => {
                let produced_tokens = self.progress(generation).map_or(0, |(len, _)| len);
                // A stream at this stage has no end yet, so this cannot fail.
                let _ = self.finish(generation, end);
                if let Some(stream) = self.streams.get_mut(&generation) {
                    stream.end_read_at_ms = Some(now_ms);
                }
                Cancelled::Stop { produced_tokens }
            }
            GenerationState::Stream(Stage::Ended)
            | GenerationState::Past(PastRecord::Ran | PastRecord::Maybe) => Cancelled::Ended,
        }
    }

    /// Acknowledges the tokens before a cursor and adds the update after it, if any, to the view.
    /// `limit_bytes` limits the approximate size of the view.
    pub fn read(&mut self, now_ms: u64, cursor: &Cursor, limit_bytes: usize, view: &mut PollView) {
        let Some(stream) = self
            .streams
            .get_mut(&cursor.generation)
            .filter(|stream| stream.workspace == cursor.workspace)
        else {
            view.updates.push(StreamUpdate {
                generation: cursor.generation,
                chunk: None,
                end: None,
                origin: None,
                unknown: true,
            });
            return;
        };
        stream.read_at_ms = now_ms;
        stream.log.acknowledge(cursor.from_offset);
        let remaining_bytes = limit_bytes.saturating_sub(view.size_bytes);
        let ready = stream.shown || stream.stage == Stage::Ended;
        let chunk = match remaining_bytes {
            0 => None,
            _ if !ready => None,
            _ => stream.log.deliver(cursor.from_offset, remaining_bytes),
        };
        let delivered_to = chunk.as_ref().map_or(cursor.from_offset, |chunk| {
            chunk.offset + u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX)
        });
        let total = stream.log.len();
        let is_complete = delivered_to >= total;
        let end = stream.log.end().filter(|_| is_complete).cloned();
        if end.is_some() {
            stream.end_read_at_ms = Some(now_ms);
        }
        if chunk.is_none() && end.is_none() {
            return;
        }
        view.size_bytes += chunk.as_ref().map_or(0, |chunk| {
            chunk.tokens.iter().map(|token| token.len() + 5).sum()
        });
        view.updates.push(StreamUpdate {
            generation: cursor.generation,
            chunk,
            end: end.map(|end| (total, end)),
            origin: (cursor.from_offset == 0).then(|| stream.origin.clone()),
            unknown: false,
        });
    }

    /// Drops logs whose end was read long enough ago or whose reader never came, and returns the
    /// orphans.
    pub fn expire(&mut self, now_ms: u64) -> ExpireOutcome {
        self.past.expire(now_ms);
        let mut outcome = ExpireOutcome::default();
        let mut dropped = Vec::new();
        for (generation, stream) in &self.streams {
            let is_unread = stream.read_at_ms + self.orphan_ms <= now_ms;
            let retention_ended = stream
                .end_read_at_ms
                .is_some_and(|read_at_ms| read_at_ms + STREAM_KEPT_MS <= now_ms);
            match stream.stage {
                Stage::Ended if retention_ended => dropped.push(*generation),
                Stage::Ended if is_unread && stream.end_read_at_ms.is_none() => {
                    dropped.push(*generation);
                }
                Stage::Queued | Stage::Requeued | Stage::Sent if is_unread => {
                    outcome.orphans.push(*generation);
                }
                _ => {}
            }
        }
        for generation in dropped {
            self.streams.remove(&generation);
            self.past.insert(now_ms, generation, PastRecord::Ran);
        }
        outcome
    }

    /// Returns the number of generations that have not ended or whose end was not read.
    pub fn open(&self) -> usize {
        let open = |stream: &&Stream| stream.end_read_at_ms.is_none();
        self.streams.values().filter(open).count()
    }

    fn stream(&mut self, generation: GenerationId) -> Result<&mut Stream, Violation> {
        self.streams.get_mut(&generation).ok_or(Violation::Unknown)
    }
}
