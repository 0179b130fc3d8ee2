//! Generates random commands for the replicated state. It uses few names, so that edits, claims and
//! registrations conflict often.
#![allow(dead_code)]

use lilacspindle::domain::members::{Member, Phase, Role, Serves, UpstreamInfo};
use lilacspindle::domain::state::{Claimed, Command, EditId, KeyId, RowChange};
use lilacspindle::domain::table::{
    KindRow, LimitRow, ModelRow, Row, RowKey, ServiceRow, Target, WorkspaceRow,
};
use lilacspindle::model::{
    Fence, GenerationId, Incarnation, InstanceName, InstanceRef, ModelName, TableVersion,
    WorkspaceName,
};
use lilacspindle::rpc::sidecar::Lane;
use quickcheck::{Gen, QuickCheck, Testable};
use rand::prelude::*;

/// Returns the seeds of a run: 12, or the number in `LILAC_SEEDS`.
pub fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("LILAC_SEEDS").ok();
    0..count.and_then(|text| text.parse().ok()).unwrap_or(12)
}

/// Checks a property on inputs generated from fixed seeds, so that every run uses the same inputs.
pub fn check<A: Testable + Copy>(property: A) {
    for seed in seeds() {
        let inputs = Gen::from_size_and_seed(100, seed);
        QuickCheck::new()
            .rng(inputs)
            .tests(400)
            .quickcheck(property);
    }
}

/// Returns a live sidecar.
pub fn sidecar(name: &str, incarnation: u64, upstreams: Vec<UpstreamInfo>) -> Member {
    Member {
        name: name.into(),
        incarnation: Incarnation(incarnation),
        fence: Fence(0),
        roles: vec![Role::Sidecar],
        zone: "z".into(),
        rpc_address: ([127, 0, 0, 1], 1).into(),
        phase: Phase::Live,
        upstreams,
    }
}

/// Returns an upstream that serves a model.
pub fn replica(name: &str, model: &str, versions: Vec<String>) -> UpstreamInfo {
    UpstreamInfo {
        name: name.into(),
        serves: Serves::Model(model.into()),
        versions,
    }
}

/// Generator of random commands.
pub struct Source {
    pub rng: StdRng,
    pub now_ms: u64,
    edits: u64,
    claims: Vec<(KeyId, Claimed)>,
}

impl Source {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1_700_000_000_000,
            edits: 0,
            claims: Vec::new(),
        }
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Returns the clock of a proposer, which lags by up to 2 s.
    pub fn proposed_ms(&mut self) -> u64 {
        self.now_ms - self.rng.random_range(0..2_000)
    }

    fn pick(&mut self, names: &[&str]) -> String {
        (*names.choose(&mut self.rng).unwrap()).to_owned()
    }

    fn workspace(&mut self) -> WorkspaceName {
        self.pick(&["a", "b", "c", "d"]).as_str().into()
    }

    fn model(&mut self) -> ModelName {
        self.pick(&["m", "n"]).as_str().into()
    }

    fn version(&mut self) -> String {
        self.pick(&["1", "2", "3"])
    }

    pub fn row_key(&mut self) -> RowKey {
        match self.rng.random_range(0..10) {
            0..=3 => RowKey::Workspace(self.workspace()),
            4 => RowKey::Kind(None, self.pick(&["k", "l"]).as_str().into()),
            5..=6 => {
                let workspace = self.workspace();
                RowKey::Kind(Some(workspace), self.pick(&["k", "l"]).as_str().into())
            }
            7 => RowKey::Model(self.model()),
            8 => RowKey::Service(self.pick(&["s", "t"]).as_str().into()),
            _ => RowKey::Limit(self.pick(&["x", "bad name"])),
        }
    }

    fn row(&mut self, key: &RowKey) -> Row {
        match key {
            RowKey::Workspace(_) => Row::Workspace(WorkspaceRow {
                weight: self.rng.random_range(0..9),
                room_slots: self.chance(50).then_some(3),
                api_key_sha256: self.chance(30).then(|| self.pick(&["0", "1"]).repeat(64)),
                max_tokens: 100,
            }),
            RowKey::Kind(..) => Row::Kind(KindRow {
                lane: Lane::Small,
                repeatable: self.chance(50),
                room_slots: None,
                deadline_ms: self.rng.random_range(0..9),
                target: if self.chance(50) {
                    Target::Model(self.model())
                } else {
                    Target::Service(self.pick(&["s", "t"]).as_str().into())
                },
            }),
            RowKey::Model(_) => Row::Model(ModelRow {
                version: self.version(),
                prepare_version: None,
                adapter: None,
            }),
            RowKey::Service(_) => Row::Service(ServiceRow {
                repeatable: self.chance(50),
                deadline_ms: 5,
            }),
            RowKey::Limit(_) => Row::Limit(LimitRow {
                value: self.rng.random_range(0..3),
            }),
        }
    }

    pub fn edit(&mut self, current: TableVersion) -> Command {
        self.edits += 1;
        let count = self.rng.random_range(1..4);
        let changes = (0..count)
            .map(|_| {
                let key = self.row_key();
                let deleted = self.chance(25);
                let row = (!deleted).then(|| self.row(&key));
                RowChange { key, row }
            })
            .collect();
        let behind = self.rng.random_range(0..12) * u64::from(self.chance(50));
        Command::Edit {
            id: EditId(format!("e{}", self.edits)),
            author: self.pick(&["ann", "bob"]),
            base: TableVersion(current.0.saturating_sub(behind)),
            changes,
            now_ms: self.proposed_ms(),
        }
    }

    pub fn claimed(&mut self) -> Claimed {
        Claimed {
            generation: GenerationId(self.rng.random_range(0..8)),
            sidecar: self.instance(),
        }
    }

    pub fn key(&mut self) -> KeyId {
        let spread = self.rng.random_range(0..12);
        // From up to 50 s before the retention period to at least 60 s beyond the allowed skew.
        let created_at_ms = (self.now_ms / 60_000 + 3) * 60_000 - spread * 70_000;
        KeyId {
            workspace: self.workspace(),
            key: format!("{created_at_ms}-{}", self.rng.random_range(0..2)),
            created_at_ms,
        }
    }

    pub fn ledger_command(&mut self) -> Command {
        let (mut key, mut claimed, now_ms) = (self.key(), self.claimed(), self.proposed_ms());
        // Half of the commands refer to one of the last claims.
        if let Some(last) = self.claims.choose(&mut self.rng).cloned()
            && self.chance(50)
        {
            key = last.0;
            claimed = if self.chance(70) { last.1 } else { claimed };
        }
        self.claims.push((key.clone(), claimed.clone()));
        if self.claims.len() > 10 {
            self.claims.remove(0);
        }
        let generation = claimed.generation;
        match self.rng.random_range(0..6) {
            0 => Command::Finish {
                key,
                generation,
                now_ms,
            },
            1 => Command::Release {
                key,
                generation,
                now_ms,
            },
            _ => Command::Claim {
                key,
                fingerprint: u64::from(self.chance(10)),
                claimed,
                now_ms,
            },
        }
    }

    pub fn instance(&mut self) -> InstanceRef {
        InstanceRef {
            name: InstanceName::from(self.pick(&["i", "j", "k"]).as_str()),
            incarnation: Incarnation(self.rng.random_range(0..6)),
        }
    }

    fn upstreams(&mut self) -> Vec<UpstreamInfo> {
        let count = self.rng.random_range(0..3);
        (0..count)
            .map(|number| {
                let (model, version) = (self.model(), self.version());
                replica(&format!("u{number}"), model.as_str(), vec![version])
            })
            .collect()
    }

    pub fn member_command(&mut self) -> Command {
        let (instance, now_ms) = (self.instance(), self.proposed_ms());
        match self.rng.random_range(0..4) {
            0 => {
                let phases = [
                    Phase::Live,
                    Phase::Live,
                    Phase::Leaving,
                    Phase::Leaving,
                    Phase::Gone,
                ];
                let phase = *phases.choose(&mut self.rng).unwrap();
                Command::SetPhase {
                    instance,
                    phase,
                    now_ms,
                }
            }
            1 => Command::SetUpstreams {
                instance,
                sequence: self.rng.random_range(0..30),
                upstreams: self.upstreams(),
                now_ms,
            },
            _ => Command::Register {
                member: sidecar(
                    instance.name.as_str(),
                    instance.incarnation.0,
                    self.upstreams(),
                ),
                now_ms,
            },
        }
    }

    /// Returns a command of any kind and advances the time, sometimes by minutes.
    pub fn command(&mut self, current: TableVersion) -> Command {
        self.now_ms += if self.chance(2) { 200_000 } else { 500 };
        match self.rng.random_range(0..10) {
            0..=4 => self.edit(current),
            5..=7 => self.ledger_command(),
            _ => self.member_command(),
        }
    }
}
