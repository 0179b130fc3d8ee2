//! Randomised runs of order books, the permit broker and the table over engines that lose answers,
//! sidecars that restart and control leaders that change.

mod state_support;

use std::collections::BTreeSet;

use lilacspindle::domain::members::UpstreamInfo;
use lilacspindle::domain::orders::{
    Action, EngineAnswer, EngineState, Order, OrderBook, PermitAnswer, PermitAsk, PermitBroker,
    Replica,
};
use lilacspindle::domain::state::{
    Command, EditId, RegisterAnswer, Response, RowChange, State, View,
};
use lilacspindle::domain::table::{ModelRow, Row, RowKey};
use lilacspindle::model::{Fence, Incarnation, InstanceRef, ModelName};
use rand::prelude::*;
use state_support::{Source, replica, seeds, sidecar};

const STEP_MS: u64 = 100;
const ORDER_LIMIT_MS: u64 = 3_000;
const MAX_LOADS: usize = 3;

/// An engine that carries an order out after some time. Half of them do not check fences.
struct Engine {
    state: EngineState,
    checks_fence: bool,
    highest: Fence,
    /// The order that is carried out, when it ends, and the sequence to answer.
    work: Option<(Order, u64, u64)>,
}

struct Sidecar {
    own: InstanceRef,
    book: OrderBook,
    view: View,
    reports: u64,
    sent_without_read: bool,
    sends: usize,
    permit_deadline_ms: u64,
}

struct World {
    source: Source,
    state: State,
    index: u64,
    broker: PermitBroker,
    engines: Vec<Engine>,
    sidecars: Vec<Sidecar>,
    /// Replaced incarnations that still run, with the number of their engine.
    former: Vec<(usize, Sidecar)>,
    loads: usize,
    former_sends: usize,
    unloads: usize,
}

fn model() -> ModelName {
    "m".into()
}

impl World {
    fn new(seed: u64, replicas: usize) -> Self {
        let mut source = Source::new(seed);
        let state = State::default();
        let broker = PermitBroker::new(MAX_LOADS, source.now_ms);
        let engines = (0..replicas)
            .map(|_| Engine {
                state: EngineState {
                    max_versions: source.rng.random_range(1..4),
                    ..EngineState::default()
                },
                checks_fence: source.chance(50),
                highest: Fence(0),
                work: None,
            })
            .collect();
        let mut world = Self {
            source,
            state,
            index: 0,
            broker,
            engines,
            sidecars: Vec::new(),
            former: Vec::new(),
            loads: 0,
            former_sends: 0,
            unloads: 0,
        };
        world.edit("1", None);
        for number in 0..replicas {
            let sidecar = world.start_sidecar(number);
            world.sidecars.push(sidecar);
        }
        world
    }

    fn apply(&mut self, command: &Command) -> Response {
        self.index += 1;
        self.state.apply(self.index, command).0
    }

    fn edit(&mut self, version: &str, prepare: Option<&str>) -> Response {
        let row = ModelRow {
            version: version.to_owned(),
            prepare_version: prepare.map(str::to_owned),
            adapter: None,
        };
        self.apply(&Command::Edit {
            id: EditId(format!("{}", self.index)),
            author: "ann".to_owned(),
            base: self.state.view().version,
            changes: vec![RowChange {
                key: RowKey::Model(model()),
                row: Some(Row::Model(row)),
            }],
            now_ms: self.source.now_ms,
        })
    }

    fn start_sidecar(&mut self, number: usize) -> Sidecar {
        let own = InstanceRef {
            name: format!("i{number}").as_str().into(),
            incarnation: Incarnation(self.source.rng.random()),
        };
        let versions = self.engines[number]
            .state
            .versions
            .iter()
            .cloned()
            .collect();
        let member = sidecar(
            own.name.as_str(),
            own.incarnation.0,
            vec![upstream(versions)],
        );
        let now_ms = self.source.now_ms;
        let response = self.apply(&Command::Register { member, now_ms });
        let Response::Register(RegisterAnswer::Registered(fence)) = response else {
            panic!("a new incarnation was refused: {response:?}");
        };
        let replica = Replica {
            instance: own.name.clone(),
            upstream: "u".into(),
        };
        Sidecar {
            book: OrderBook::new(
                own.clone(),
                fence,
                replica,
                model(),
                ORDER_LIMIT_MS,
                self.source.now_ms,
            ),
            own,
            view: self.state.view().clone(),
            reports: 0,
            sent_without_read: false,
            sends: 0,
            permit_deadline_ms: 0,
        }
    }

    fn run_engine(&mut self, number: usize) {
        let now_ms = self.source.now_ms;
        let engine = &mut self.engines[number];
        engine
            .state
            .busy
            .retain(|_| self.source.rng.random_range(0..10) > 0);
        // Generations start on any version that the sidecar has not withdrawn.
        let withdrawn = self.sidecars[number].book.withdrawn();
        let version = ["1", "2", "3"].choose(&mut self.source.rng).unwrap();
        if engine.state.versions.contains(*version) && withdrawn != Some(*version) {
            engine.state.busy.insert((*version).to_owned());
        }
        let Some((order, ends_ms, sequence)) = engine.work.clone() else {
            return;
        };
        if now_ms < ends_ms {
            return;
        }
        engine.work = None;
        match &order {
            Order::Load { version, .. } => {
                engine.state.versions.insert(version.clone());
                engine.state.busy.insert(version.clone());
                let fits = engine.state.versions.len() <= engine.state.max_versions;
                assert!(fits, "an engine was loaded beyond its memory");
            }
            Order::Unload { version, .. } => {
                engine.state.versions.remove(version);
                self.unloads += 1;
            }
            Order::LoadAdapter { .. } => {}
        }
        if !self.source.chance(20) {
            let book = &mut self.sidecars[number].book;
            book.answered(sequence, EngineAnswer::Done, now_ms);
        }
    }

    fn send(&mut self, number: usize, sequence: u64, fence: Fence, order: Order) {
        let now_ms = self.source.now_ms;
        let current = self.state.view().members.members[&self.sidecars[number].own.name].fence;
        assert_eq!(fence, current, "an order carries an old fencing number");
        let sidecar = &mut self.sidecars[number];
        assert!(
            !sidecar.sent_without_read,
            "an order was sent before the state was read back"
        );
        sidecar.sent_without_read = true;
        sidecar.sends += 1;
        let engine = &mut self.engines[number];
        if let Order::Load { .. } = order {
            assert!(
                now_ms < sidecar.permit_deadline_ms,
                "a load was sent without a permit"
            );
            self.loads += 1;
        }
        if let Order::Unload { version, .. } = &order {
            assert!(
                !engine.state.busy.contains(version),
                "a busy version is unloaded"
            );
        }
        assert!(
            engine.work.is_none(),
            "two orders are in flight at one engine"
        );
        if engine.checks_fence && fence < engine.highest {
            return sidecar
                .book
                .answered(sequence, EngineAnswer::OldFence, now_ms);
        }
        engine.highest = engine.highest.max(fence);
        match self.source.rng.random_range(0..10) {
            0 => sidecar
                .book
                .answered(sequence, EngineAnswer::Refused, now_ms),
            1 => sidecar
                .book
                .answered(sequence, EngineAnswer::Doubtful, now_ms),
            2 => {}
            _ => {
                let ends_ms = now_ms + self.source.rng.random_range(0..ORDER_LIMIT_MS);
                engine.work = Some((order, ends_ms, sequence));
            }
        }
    }

    fn ask_permit(&mut self, number: usize, recovery: bool, held: bool) {
        let now_ms = self.source.now_ms;
        let sidecar = &mut self.sidecars[number];
        let ask = PermitAsk {
            instance: sidecar.own.name.clone(),
            fence: self.state.view().members.members[&sidecar.own.name].fence,
            upstream: "u".into(),
            model: model(),
            recovery,
            held,
        };
        let answer = self.broker.ask(&ask, &self.state.view().members, now_ms);
        let holders = self.broker.held(now_ms);
        assert!(
            holders <= MAX_LOADS,
            "{holders} loads are permitted at once"
        );
        let sidecar = &mut self.sidecars[number];
        match answer {
            _ if self.source.chance(10) => sidecar.book.permit_refused(now_ms + 500),
            PermitAnswer::Granted { lease_ms } => {
                sidecar.permit_deadline_ms = now_ms + lease_ms;
                let version = self.pending_version(number);
                let book = &mut self.sidecars[number].book;
                book.permitted(model(), version, recovery, now_ms + lease_ms);
            }
            PermitAnswer::Wait { retry_after_ms } => {
                sidecar.book.permit_refused(now_ms + retry_after_ms);
            }
            PermitAnswer::Fenced { .. } => sidecar.book.fenced(),
        }
    }

    fn pending_version(&mut self, number: usize) -> String {
        let sidecar = &mut self.sidecars[number];
        match sidecar.book.clone().step(&sidecar.view, self.source.now_ms) {
            Action::AskPermit { version, .. } => version,
            other => panic!("the book no longer asks for a permit: {other:?}"),
        }
    }

    fn step_sidecar(&mut self, number: usize) {
        let now_ms = self.source.now_ms;
        let sidecar = &mut self.sidecars[number];
        if self.source.chance(30) {
            sidecar.view = self.state.view().clone();
        }
        let action = sidecar.book.step(&sidecar.view, now_ms);
        match action {
            Action::Confirm if self.source.rng.random() => {
                sidecar.view = self.state.view().clone();
                sidecar.book.confirmed(&sidecar.view, now_ms);
            }
            Action::Read { sequence } if self.source.rng.random() => {
                sidecar.sent_without_read = false;
                let state = self.engines[number].state.clone();
                sidecar.book.state_read(sequence, state, now_ms);
            }
            Action::Report { versions } => {
                sidecar.reports += 1;
                let command = Command::SetUpstreams {
                    instance: sidecar.own.clone(),
                    sequence: sidecar.reports,
                    upstreams: vec![upstream(versions.into_iter().collect())],
                    now_ms,
                };
                self.apply(&command);
            }
            Action::AskPermit { recovery, held, .. } => self.ask_permit(number, recovery, held),
            Action::ReturnPermit { .. } => {
                let fence = self.state.view().members.members[&sidecar.own.name].fence;
                let name = sidecar.own.name.clone();
                self.broker.give_back(&name, &"u".into(), fence);
            }
            Action::Send {
                sequence,
                fence,
                order,
                ..
            } => self.send(number, sequence, fence, order),
            Action::Stop => panic!("the current incarnation was fenced"),
            _ => {}
        }
    }

    /// Lets a replaced incarnation go on as if it got every permit. Its orders are dropped.
    fn step_former(&mut self, position: usize) {
        let now_ms = self.source.now_ms;
        let (number, former) = &mut self.former[position];
        match former.book.step(&former.view, now_ms) {
            Action::Confirm if self.source.rng.random() => {
                former.view = self.state.view().clone();
                former.book.confirmed(&former.view, now_ms);
            }
            Action::Read { sequence } => {
                let state = self.engines[*number].state.clone();
                former.book.state_read(sequence, state, now_ms);
            }
            Action::AskPermit {
                model,
                version,
                recovery,
                ..
            } => {
                let deadline_ms = now_ms + 5_000;
                former.book.permitted(model, version, recovery, deadline_ms);
            }
            Action::Send { sequence, .. } => {
                let sends = self.sidecars[*number].sends;
                assert_eq!(sends, 0, "two incarnations send orders to one engine");
                let answer = EngineAnswer::Doubtful;
                former.book.answered(sequence, answer, now_ms);
                self.former_sends += 1;
            }
            _ => {}
        }
    }

    /// The replicas that have the version in force and are not about to unload it.
    fn serving(&self) -> usize {
        let version = &self.state.view().table.model(&model()).unwrap().version;
        let has = |engine: &&Engine| {
            let drops = matches!(&engine.work, Some((Order::Unload { version: v, .. }, ..)) if v == version);
            engine.state.versions.contains(version) && !drops
        };
        self.engines.iter().filter(has).count()
    }

    fn step(&mut self) {
        self.source.now_ms += STEP_MS;
        for position in 0..self.former.len() {
            self.step_former(position);
        }
        for number in 0..self.engines.len() {
            self.run_engine(number);
            self.step_sidecar(number);
        }
    }

    fn disturb(&mut self) {
        if self.source.chance(1) {
            self.broker = PermitBroker::new(MAX_LOADS, self.source.now_ms);
        }
        if self.source.rng.random_range(0..400) == 0 {
            // The former process runs on, and its last order ends before the new one registers.
            let number = self.source.rng.random_range(0..self.engines.len());
            self.engines[number].work = None;
            let sidecar = self.start_sidecar(number);
            let former = std::mem::replace(&mut self.sidecars[number], sidecar);
            self.former.retain(|(other, _)| *other != number);
            self.former.push((number, former));
        }
        if self.source.chance(2) {
            let row = self.state.view().table.model(&model()).unwrap().clone();
            let version = ["1", "2", "3"].choose(&mut self.source.rng).unwrap();
            match &row.prepare_version {
                Some(prepared) if self.source.chance(70) => self.edit(prepared, None),
                _ => self.edit(&row.version, Some(version)),
            };
        }
    }
}

fn upstream(versions: Vec<String>) -> UpstreamInfo {
    replica("u", "m", versions)
}

/// Guards against an order that leaves no replica with the version in force, a second order in
/// flight or in doubt, a load without a permit, more loads than allowed, and rollouts that stall.
#[test]
fn rollouts_keep_the_version_in_force() {
    let (mut loads, mut unloads, mut former_sends) = (0, 0, 0);
    for seed in seeds() {
        let mut world = World::new(seed, 1 + usize::try_from(seed % 6).unwrap());
        let mut served = false;
        for _ in 0..3_000 {
            world.disturb();
            world.step();
            served |= world.serving() > 0;
            assert!(
                !served || world.serving() > 0,
                "seed {seed}: no replica serves the model"
            );
        }
        let settled = (0..3_000).any(|_| {
            world.step();
            let view = world.state.view();
            let row = view.table.model(&model()).unwrap();
            let wanted: BTreeSet<_> = [Some(row.version.clone()), row.prepare_version.clone()]
                .into_iter()
                .flatten()
                .collect();
            world.engines.iter().all(|engine| {
                let versions = &engine.state.versions;
                let small = engine.state.max_versions < wanted.len();
                *versions == wanted || (small && versions.is_subset(&wanted) && versions.len() == 1)
            })
        });
        assert!(settled, "seed {seed}: the rollout does not end");
        loads += world.loads;
        unloads += world.unloads;
        former_sends += world.former_sends;
    }
    assert!(
        loads > 100 && unloads > 50 && former_sends > 10,
        "{loads} loads, {unloads} unloads, {former_sends} orders of former incarnations"
    );
}
