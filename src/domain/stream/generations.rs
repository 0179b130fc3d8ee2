//! The generations of one shard: their logs, readers and ends.

use std::collections::BTreeMap;
use std::fmt;

use super::{LogError, Past, PastRecord, Stage, TokenLog};
use crate::model::{GenerationId, RefusalCode, WorkspaceName};
use crate::rpc::sidecar::{Cursor, End, Origin, StreamUpdate};

/// How long a log is kept after its end was read.
pub const STREAM_KEPT_MS: u64 = 30_000;

/// A generation that is accepted.
#[derive(Debug, Clone)]
pub struct NewStream {
    pub workspace: WorkspaceName,
    /// False if nothing may be given out before the answer is complete, so that it can be
    /// restarted until then.
    pub shown: bool,
    /// True for a generation taken back after a restart: it was sent by the former incarnation.
    pub sent: bool,
    /// Offset up to which the reader has tokens of the former incarnation.
    pub read_to: u32,
    pub origin: Origin,
}

#[derive(Debug)]
struct Stream {
    workspace: WorkspaceName,
    shown: bool,
    stage: Stage,
    /// Counts the times that it was sent.
    run: u32,
    log: TokenLog,
    origin: Origin,
    /// When a reader last asked; at first, when it was accepted.
    read_at_ms: u64,
    /// When the end was last given to a reader together with all tokens.
    end_read_at_ms: Option<u64>,
}

/// What is known of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    New,
    Stream(Stage),
    Past(PastRecord),
}

/// What a cancel did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// A tombstone stands.
    NotRun,
    /// It may have run; the caller stops it at the engine.
    Stop {
        produced_tokens: u32,
    },
    Ended,
}

/// What a poll found.
#[derive(Debug, Default)]
pub struct PollView {
    pub updates: Vec<StreamUpdate>,
    /// Bytes of all tokens in the updates, roughly.
    pub size_bytes: usize,
}

/// What `expire` found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Removed {
    /// Unread for too long; the caller cancels them.
    pub orphans: Vec<GenerationId>,
}

/// A call that contradicts the state of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    Unknown,
    /// A generation was started twice, or a restart does not fit its stage.
    Restarted(Stage),
    /// The token is of a run that was replaced.
    FormerRun {
        run: u32,
        current: u32,
    },
    Log(LogError),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("the generation is not known"),
            Self::Restarted(stage) => write!(f, "the generation is at the stage {stage:?}"),
            Self::FormerRun { run, current } => {
                write!(f, "token of run {run}; the current one is {current}")
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
    past: Past,
}

impl Generations {
    /// Returns when a generation that has not ended was last read; none if there is none.
    pub fn read_at_ms(&self, generation: GenerationId) -> Option<u64> {
        let stream = self.streams.get(&generation)?;
        (stream.stage != Stage::Ended).then_some(stream.read_at_ms)
    }

    /// Returns an empty shard. Generations unread for `orphan_ms` are reported by `expire`.
    pub fn new(orphan_ms: u64, max_past: usize) -> Self {
        Self {
            orphan_ms,
            streams: BTreeMap::new(),
            past: Past::new(max_past),
        }
    }

    /// Returns what is known of a generation.
    pub fn known(&self, generation: GenerationId) -> Known {
        match (self.streams.get(&generation), self.past.get(generation)) {
            (Some(stream), _) => Known::Stream(stream.stage),
            (None, Some(record)) => Known::Past(record),
            (None, None) => Known::New,
        }
    }

    /// Adds an accepted generation; fails if it is known.
    pub fn accept(
        &mut self,
        now_ms: u64,
        generation: GenerationId,
        new: NewStream,
    ) -> Result<(), Violation> {
        match self.known(generation) {
            Known::New => {}
            Known::Stream(stage) => return Err(Violation::Restarted(stage)),
            Known::Past(_) => return Err(Violation::Restarted(Stage::Ended)),
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

    /// Writes a tombstone for a generation that is not known.
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

    /// Notes that a generation is about to be sent to an upstream and returns the number of the
    /// run, or returns none if it is no longer waiting and must not be sent.
    pub fn send(&mut self, generation: GenerationId, origin: Origin) -> Option<u32> {
        let waits = |stream: &&mut Stream| stream.stage < Stage::Sent;
        let stream = self.streams.get_mut(&generation).filter(waits)?;
        stream.stage = Stage::Sent;
        stream.origin = origin;
        stream.run += 1;
        Some(stream.run)
    }

    /// Returns the number of the current run; zero before the first.
    pub fn run(&self, generation: GenerationId) -> Option<u32> {
        self.streams.get(&generation).map(|stream| stream.run)
    }

    /// Remembers a generation that ran without a log here.
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

    /// Empties the log of a generation of which nothing was given out. Tokens of the run so far
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

    /// Returns the number of tokens of a generation, and how many were given to a reader.
    pub fn progress(&self, generation: GenerationId) -> Option<(u32, u32)> {
        let stream = self.streams.get(&generation)?;
        Some((stream.log.len(), stream.log.given()))
    }

    /// Stops a generation, or prevents that it ever starts.
    pub fn cancel(&mut self, now_ms: u64, generation: GenerationId, end: End) -> Cancelled {
        match self.known(generation) {
            Known::New | Known::Past(PastRecord::Refused { .. }) => {
                self.refuse(now_ms, generation, RefusalCode::Cancelled, None);
                Cancelled::NotRun
            }
            Known::Stream(Stage::Queued) => {
                self.streams.remove(&generation);
                self.refuse(now_ms, generation, RefusalCode::Cancelled, None);
                Cancelled::NotRun
            }
            Known::Stream(Stage::Requeued | Stage::Sent) => {
                let produced_tokens = self.progress(generation).map_or(0, |(len, _)| len);
                // A stream at this stage has no end yet, so this cannot fail.
                let _ = self.finish(generation, end);
                if let Some(stream) = self.streams.get_mut(&generation) {
                    stream.end_read_at_ms = Some(now_ms);
                }
                Cancelled::Stop { produced_tokens }
            }
            Known::Stream(Stage::Ended) | Known::Past(PastRecord::Ran | PastRecord::Maybe) => {
                Cancelled::Ended
            }
        }
    }

    /// Acknowledges a cursor and adds its news, if any, to the view.
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
        let room_bytes = limit_bytes.saturating_sub(view.size_bytes);
        let ready = stream.shown || stream.stage == Stage::Ended;
        let chunk = match room_bytes {
            0 => None,
            _ if !ready => None,
            _ => stream.log.give(cursor.from_offset, room_bytes),
        };
        let given_to = chunk.as_ref().map_or(cursor.from_offset, |chunk| {
            chunk.offset + u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX)
        });
        let total = stream.log.len();
        let whole = given_to >= total;
        let end = stream.log.end().filter(|_| whole).cloned();
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

    /// Drops logs whose end was read long enough ago, and reports unread generations.
    pub fn expire(&mut self, now_ms: u64) -> Removed {
        self.past.expire(now_ms);
        let mut removed = Removed::default();
        let mut dropped = Vec::new();
        for (generation, stream) in &self.streams {
            let unread = stream.read_at_ms + self.orphan_ms <= now_ms;
            let read_long_ago = stream
                .end_read_at_ms
                .is_some_and(|read_at_ms| read_at_ms + STREAM_KEPT_MS <= now_ms);
            match stream.stage {
                Stage::Ended if read_long_ago => dropped.push(*generation),
                Stage::Ended if unread && stream.end_read_at_ms.is_none() => {
                    dropped.push(*generation);
                }
                Stage::Queued | Stage::Requeued | Stage::Sent if unread => {
                    removed.orphans.push(*generation);
                }
                _ => {}
            }
        }
        for generation in dropped {
            self.streams.remove(&generation);
            self.past.insert(now_ms, generation, PastRecord::Ran);
        }
        removed
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
