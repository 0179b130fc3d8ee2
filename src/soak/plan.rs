//! The plan of a run: a pure function of its seed and size.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use super::services::Illness;

/// Time that processes have to form the site before the first step.
const FIRST_STEP_MS: u64 = 5_000;
/// Time at the end of a run without steps.
const CALM_END_MS: u64 = 16_000;
/// Time from a step at an entry until that entry is steady again: its grace period and its start.
const ENTRY_RECOVERY_MS: u64 = 14_000;
/// Time from the end of a fault at a control process until the next process may be lost.
const CONTROL_RECOVERY_MS: u64 = 5_000;
/// Longest outage of a control process that is stopped by a signal.
const CONTROL_STOP_MS: u64 = 9_000;
const ZONES: usize = 3;
/// Instances of plain services in a run with illnesses.
const ILL_SERVICES: usize = 6;

/// What a run consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
pub enum PlanKind {
    /// All faults, in series and overlapping.
    Mixed,
    /// Planned stops of entries under long streams, with engines that pause and leave.
    Stops,
    /// As `Stops`, with entries that are frozen in half of the rounds.
    Freezes,
    /// Plain calls to services that fall ill, are held up, crash and are replaced, beside freezes.
    Illnesses,
}

/// Number of processes and length of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub controls: usize,
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    pub callers: usize,
    pub run_ms: u64,
}

impl Size {
    /// Draws the size of a run; given numbers take precedence.
    pub fn draw(seed: u64, seconds: u64, entries: Option<usize>, controls: Option<usize>) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ 0x51e);
        let controls = controls.unwrap_or_else(|| 3 + 2 * random.random_range(0..4));
        let entries = entries.unwrap_or_else(|| random.random_range(4..=30));
        Self {
            controls: controls.clamp(3, 9),
            entries: entries.clamp(4, 30),
            engines: (entries * 2 / 3).clamp(4, 20),
            services: (entries / 4).clamp(2, 6),
            callers: entries * 5,
            run_ms: seconds.max(30) * 1_000,
        }
    }
}

/// What is done at a step. Numbers count from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// SIGTERM; the process is started again after it has ended.
    StopEntry { entry: usize },
    /// SIGSTOP, and SIGCONT after `for_ms`.
    FreezeEntry { entry: usize, for_ms: u64 },
    /// SIGHUP, with other control addresses in the settings if `reseeds` is set.
    ReloadEntry { entry: usize, reseeds: bool },
    /// SIGTERM; the process is started again, with an empty disk if `loses_disk` is set.
    StopControl { control: usize, loses_disk: bool },
    /// SIGKILL, and a start after `down_ms`.
    KillControl { control: usize, down_ms: u64 },
    /// SIGSTOP, and SIGCONT after `for_ms`.
    FreezeControl { control: usize, for_ms: u64 },
    /// The files of the process cannot grow for `for_ms`.
    FillDisk { control: usize, for_ms: u64 },
    /// An engine makes no progress and does not answer for `for_ms`.
    SilenceEngine { engine: usize, for_ms: u64 },
    /// An engine announces that it leaves, and is gone after `notice_ms`.
    LeaveEngine { engine: usize, notice_ms: u64 },
    /// An engine ends without notice, with its connections; another one starts after `down_ms`.
    CrashEngine { engine: usize, down_ms: u64 },
    /// The links of an engine delay all bytes for `for_ms`.
    DelayLink {
        engine: usize,
        delay_ms: u64,
        for_ms: u64,
    },
    /// The links of an engine hold back all bytes for `for_ms`.
    HoldLink { engine: usize, for_ms: u64 },
    /// What happens to an instance of a plain service.
    Service { service: usize, step: ServiceStep },
}

/// What happens to an instance of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceStep {
    /// It is ill for `for_ms`.
    Sicken { illness: Illness, for_ms: u64 },
    /// It makes no progress and does not answer for `for_ms`.
    Silence { for_ms: u64 },
    /// It crashes and is back after `down_ms`, under its identity or with that one still listed for a
    /// while.
    Crash { down_ms: u64, keeps_identity: bool },
    /// It drains for `notice_ms`; another one takes its address.
    Replace { notice_ms: u64 },
}

/// One step of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    pub at_ms: u64,
    pub action: Action,
}

/// The plan of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    pub kind: PlanKind,
    pub size: Size,
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan.
    pub fn draw(seed: u64, kind: PlanKind, size: Size) -> Self {
        let size = match kind {
            // Each service has further instances, to which a request may be sent again.
            PlanKind::Illnesses => Size {
                services: ILL_SERVICES,
                ..size
            },
            _ => size,
        };
        let mut drawing = Drawing {
            random: StdRng::seed_from_u64(seed),
            size,
            end_ms: size.run_ms.saturating_sub(CALM_END_MS),
            steps: Vec::new(),
        };
        drawing.entries(kind);
        drawing.engines(kind);
        if kind == PlanKind::Illnesses {
            drawing.services();
        }
        if kind == PlanKind::Mixed {
            drawing.controls();
        }
        let mut steps = drawing.steps;
        steps.sort_by_key(|step| step.at_ms);
        Self {
            seed,
            kind,
            size,
            steps,
        }
    }

    /// Returns the zone of the machine with a number.
    pub fn zone(machine: usize) -> usize {
        machine % ZONES
    }
}

struct Drawing {
    random: StdRng,
    size: Size,
    end_ms: u64,
    steps: Vec<Step>,
}

impl Drawing {
    fn push(&mut self, at_ms: u64, action: Action) {
        if at_ms < self.end_ms {
            self.steps.push(Step { at_ms, action });
        }
    }

    /// Stops, reloads and freezes entries in rounds: a single one, a series, several at once, one in each
    /// zone, and all of them, one after the other. At most a third of the entries stop at a time.
    fn entries(&mut self, kind: PlanKind) {
        let mut at_ms = FIRST_STEP_MS;
        let mut first = 0;
        let most = (self.size.entries / 3).max(1);
        while at_ms < self.end_ms {
            let reloads = kind == PlanKind::Mixed && self.random.random_ratio(1, 5);
            let freezes = matches!(kind, PlanKind::Freezes | PlanKind::Illnesses);
            let freezes = freezes && self.random.random_ratio(1, 2);
            let (count, gap_ms) = match self.random.random_range(0..5) {
                0 => (1, 0),
                1 => (most, self.random.random_range(200..1_500)),
                2 => (most, 0),
                3 => {
                    let entries = self.size.entries;
                    (entries, ENTRY_RECOVERY_MS * 3 / entries as u64)
                }
                _ => (ZONES.min(most), 0),
            };
            for n in 0..count {
                let entry = (first + n) % self.size.entries;
                let action = match () {
                    () if reloads => Action::ReloadEntry {
                        entry,
                        reseeds: self.random.random_ratio(1, 2),
                    },
                    () if freezes => Action::FreezeEntry {
                        entry,
                        for_ms: self.random.random_range(500..2_500),
                    },
                    () => Action::StopEntry { entry },
                };
                self.push(at_ms + n as u64 * gap_ms, action);
            }
            first += count;
            at_ms += gap_ms * count as u64 + ENTRY_RECOVERY_MS / 3;
            at_ms += self.random.random_range(0..4_000);
        }
    }

    /// Lets engines fall silent, leave, crash, and be reached over slow links. A step concerns a quarter of
    /// them at most; leaving engines are others than those that left before. Link faults and crashes
    /// excuse requests that are lost, so plans of `Stops` and `Freezes` have none.
    fn engines(&mut self, kind: PlanKind) {
        let mut at_ms = FIRST_STEP_MS;
        let mut next_leaving = 0;
        let (pause_ms, kinds) = match kind {
            PlanKind::Stops | PlanKind::Freezes | PlanKind::Illnesses => (400..1_500, 7),
            PlanKind::Mixed => (1_000..4_000, 11),
        };
        while at_ms < self.end_ms {
            let count = self.random.random_range(1..=(self.size.engines / 4).max(1));
            let kind = self.random.random_range(0..kinds);
            for _ in 0..count {
                let engine = self.random.random_range(0..self.size.engines);
                let for_ms = self.random.random_range(300..2_000);
                let action = match kind {
                    0..5 => Action::SilenceEngine { engine, for_ms },
                    5..7 => {
                        let engine = next_leaving % self.size.engines;
                        next_leaving += 1;
                        let notice_ms = self.random.random_range(1_500..4_000);
                        Action::LeaveEngine { engine, notice_ms }
                    }
                    7 => Action::CrashEngine {
                        engine,
                        down_ms: for_ms,
                    },
                    8 => Action::HoldLink { engine, for_ms },
                    _ => Action::DelayLink {
                        engine,
                        delay_ms: self.random.random_range(20..250),
                        for_ms,
                    },
                };
                self.push(at_ms, action);
            }
            at_ms += self.random.random_range(pause_ms.clone());
        }
    }

    /// Lets instances of plain services fall ill, often with several illnesses at once, and be held up,
    /// crash and be replaced.
    fn services(&mut self) {
        let mut at_ms = FIRST_STEP_MS;
        while at_ms < self.end_ms {
            let service = self.random.random_range(0..self.size.services);
            let for_ms = self.random.random_range(300..3_000);
            let step = match self.random.random_range(0..10) {
                0 => ServiceStep::Silence { for_ms },
                1 => ServiceStep::Crash {
                    down_ms: for_ms / 2,
                    keeps_identity: self.random.random_ratio(1, 2),
                },
                2 => ServiceStep::Replace {
                    notice_ms: 1_500 + for_ms,
                },
                _ => {
                    let illness = Illness::ALL[self.random.random_range(0..Illness::ALL.len())];
                    ServiceStep::Sicken { illness, for_ms }
                }
            };
            self.push(at_ms, Action::Service { service, step });
            at_ms += self.random.random_range(50..600);
        }
    }

    /// Fills the disk of each control process once, one after the other. Returns the time at which
    /// the next process may be lost.
    fn disks(&mut self, mut at_ms: u64) -> u64 {
        let first = self.random.random_range(0..self.size.controls);
        for n in 0..self.size.controls {
            let control = (first + n) % self.size.controls;
            let for_ms = self.random.random_range(1_000..4_000);
            self.push(at_ms, Action::FillDisk { control, for_ms });
            at_ms += for_ms + CONTROL_RECOVERY_MS;
        }
        at_ms
    }

    /// Loses control processes, one at a time; some runs begin with a series of full disks.
    fn controls(&mut self) {
        let mut at_ms = FIRST_STEP_MS + 1_000;
        if self.random.random_ratio(1, 2) {
            at_ms = self.disks(at_ms);
        }
        while at_ms < self.end_ms {
            let control = self.random.random_range(0..self.size.controls);
            let for_ms = self.random.random_range(1_000..5_000);
            let (action, down_ms) = match self.random.random_range(0..8) {
                0..4 => (Action::FillDisk { control, for_ms }, for_ms),
                4 => (Action::FreezeControl { control, for_ms }, for_ms),
                5 => {
                    let down_ms = for_ms;
                    (Action::KillControl { control, down_ms }, down_ms)
                }
                kind => {
                    let loses_disk = kind == 7;
                    let action = Action::StopControl {
                        control,
                        loses_disk,
                    };
                    (action, CONTROL_STOP_MS)
                }
            };
            self.push(at_ms, action);
            at_ms += down_ms + CONTROL_RECOVERY_MS + self.random.random_range(0..3_000);
        }
    }
}
