//! Randomised runs of engine reconcilers, the permit broker and the table, with engines whose
//! answers are lost, sidecars that restart and control leaders that change.

mod state_support;

use std::collections::BTreeSet;

use lilacspindle::domain::members::UpstreamInfo;
use lilacspindle::domain::orders::{
    Action, EngineReconciler, EngineState, LoadPermitRequest, Order, OrderOutcome, PermitAnswer,
    PermitBroker, Replica,
};
use lilacspindle::domain::state::{
    Command, EditId, RegisterAnswer, Response, RowChange, State, View,
};
use lilacspindle::domain::table::{ModelRow, Row, RowKey};
use lilacspindle::model::{Fence, Incarnation, InstanceRef, ModelName};
use rand::prelude::*;
use state_support::{Source, replica, seeds, sidecar};

const STEP_MS: u64 = 100;
const ORDER_TIMEOUT_MS: u64 = 3_000;
const MAX_LOADS: usize = 3;

/// An engine that takes a random time to carry out an order. About half of the engines ignore
/// fencing numbers.
struct Engine {
    state: EngineState,
    checks_fence: bool,
    /// The highest fencing number of any order so far.
    highest_fence: Fence,
    /// The order in progress, the time at which it ends, and the sequence number of its answer.
    in_progress: Option<(Order, u64, u64)>,
}

struct Sidecar {
    instance: InstanceRef,
    reconciler: EngineReconciler,
    view: View,
    reports: u64,
    sent_without_read: bool,
    sends: usize,
    permit_deadline_ms: u64,
}

struct Simulation {
    source: Source,
    state: State,
    index: u64,
    broker: PermitBroker,
    engines: Vec<Engine>,
    sidecars: Vec<Sidecar>,
    /// Replaced incarnations that still run, and the index of their engine.
    replaced: Vec<(usize, Sidecar)>,
    loads: usize,
    replaced_sends: usize,
    unloads: usize,
}

fn model() -> ModelName {
    "m".into()
}

impl Simulation {
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
                highest_fence: Fence(0),
                in_progress: None,
            })
            .collect();
        let mut simulation = Self {
            source,
            state,
            index: 0,
            broker,
            engines,
            sidecars: Vec::new(),
            replaced: Vec::new(),
            loads: 0,
            replaced_sends: 0,
            unloads: 0,
        };
        simulation.edit("1", None);
        for number in 0..replicas {
            let sidecar = simulation.start_sidecar(number);
            simulation.sidecars.push(sidecar);
        }
        simulation
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
        let instance = InstanceRef {
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
            instance.name.as_str(),
            instance.incarnation.0,
            vec![upstream(versions)],
        );
        let now_ms = self.source.now_ms;
        let response = self.apply(&Command::Register { member, now_ms });
        let Response::Register(RegisterAnswer::Registered(fence)) = response else {
            panic!("a new incarnation was refused: {response:?}");
        };
        let replica = Replica {
            instance: instance.name.clone(),
            upstream: "u".into(),
        };
        Sidecar {
            reconciler: EngineReconciler::new(
                instance.clone(),
                fence,
                replica,
                model(),
                ORDER_TIMEOUT_MS,
                self.source.now_ms,
            ),
            instance,
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
        let withdrawn = self.sidecars[number].reconciler.withdrawn();
        let version = ["1", "2", "3"].choose(&mut self.source.rng).unwrap();
        if engine.state.versions.contains(*version) && withdrawn != Some(*version) {
            engine.state.busy.insert((*version).to_owned());
        }
        let Some((order, ends_ms, sequence)) = engine.in_progress.clone() else {
            return;
        };
        if now_ms < ends_ms {
            return;
        }
        engine.in_progress = None;
        match &order {
            Order::Load { version, .. } => {
                engine.state.versions.insert(version.clone());
                engine.state.busy.insert(version.clone());
                let fits = engine.state.versions.len() <= engine.state.max_versions;
                assert!(fits, "an engine has more versions loaded than fit");
            }
            Order::Unload { version, .. } => {
                engine.state.versions.remove(version);
                self.unloads += 1;
            }
            Order::LoadAdapter { .. } => {}
        }
        if !self.source.chance(20) {
            let reconciler = &mut self.sidecars[number].reconciler;
            reconciler.order_answered(sequence, OrderOutcome::Done, now_ms);
        }
    }

    fn send(&mut self, number: usize, sequence: u64, fence: Fence, order: Order) {
        let now_ms = self.source.now_ms;
        let current = self.state.view().members.members[&self.sidecars[number].instance.name].fence;
        assert_eq!(
            fence, current,
            "an order carries an outdated fencing number"
        );
        let sidecar = &mut self.sidecars[number];
        assert!(
            !sidecar.sent_without_read,
            "an order was sent before the state was read after the last one"
        );
        sidecar.sent_without_read = true;
        sidecar.sends += 1;
        let engine = &mut self.engines[number];
        if let Order::Load { .. } = order {
            assert!(
                now_ms < sidecar.permit_deadline_ms,
                "a load was sent without a valid permit"
            );
            self.loads += 1;
        }
        if let Order::Unload { version, .. } = &order {
            assert!(
                !engine.state.busy.contains(version),
                "a version with running generations is unloaded"
            );
        }
        assert!(
            engine.in_progress.is_none(),
            "two orders are in flight at one engine"
        );
        if engine.checks_fence && fence < engine.highest_fence {
            return sidecar
                .reconciler
                .order_answered(sequence, OrderOutcome::StaleFence, now_ms);
        }
        engine.highest_fence = engine.highest_fence.max(fence);
        match self.source.rng.random_range(0..10) {
            0 => sidecar
                .reconciler
                .order_answered(sequence, OrderOutcome::Refused, now_ms),
            1 => sidecar
                .reconciler
                .order_answered(sequence, OrderOutcome::Unknown, now_ms),
            2 => {}
            _ => {
                let ends_ms = now_ms + self.source.rng.random_range(0..ORDER_TIMEOUT_MS);
                engine.in_progress = Some((order, ends_ms, sequence));
            }
        }
    }

    fn request_permit(&mut self, number: usize, recovery: bool, held: bool) {
        let now_ms = self.source.now_ms;
        let sidecar = &mut self.sidecars[number];
        let request = LoadPermitRequest {
            instance: sidecar.instance.name.clone(),
            fence: self.state.view().members.members[&sidecar.instance.name].fence,
            upstream: "u".into(),
            model: model(),
            recovery,
            held,
        };
        let answer = self
            .broker
            .request(&request, &self.state.view().members, now_ms);
        let holders = self.broker.held(now_ms);
        assert!(
            holders <= MAX_LOADS,
            "{holders} loads are permitted at once"
        );
        let sidecar = &mut self.sidecars[number];
        match answer {
            _ if self.source.chance(10) => sidecar.reconciler.permit_denied(now_ms + 500),
            PermitAnswer::Granted { lease_ms } => {
                sidecar.permit_deadline_ms = now_ms + lease_ms;
                let version = self.pending_version(number);
                let reconciler = &mut self.sidecars[number].reconciler;
                reconciler.permit_granted(model(), version, recovery, now_ms + lease_ms);
            }
            PermitAnswer::Wait { retry_after_ms } => {
                sidecar.reconciler.permit_denied(now_ms + retry_after_ms);
            }
            PermitAnswer::Fenced { .. } => sidecar.reconciler.fenced(),
        }
    }

    fn pending_version(&mut self, number: usize) -> String {
        let sidecar = &mut self.sidecars[number];
        match sidecar
            .reconciler
            .clone()
            .step(&sidecar.view, self.source.now_ms)
        {
            Action::RequestPermit { version, .. } => version,
            other => panic!("the reconciler no longer requests a permit: {other:?}"),
        }
    }

    fn step_sidecar(&mut self, number: usize) {
        let now_ms = self.source.now_ms;
        let sidecar = &mut self.sidecars[number];
        if self.source.chance(30) {
            sidecar.view = self.state.view().clone();
        }
        let action = sidecar.reconciler.step(&sidecar.view, now_ms);
        match action {
            Action::Confirm if self.source.rng.random() => {
                sidecar.view = self.state.view().clone();
                sidecar.reconciler.view_confirmed(&sidecar.view, now_ms);
            }
            Action::Read { sequence } if self.source.rng.random() => {
                sidecar.sent_without_read = false;
                let state = self.engines[number].state.clone();
                sidecar.reconciler.state_read(sequence, state, now_ms);
            }
            Action::Report { versions } => {
                sidecar.reports += 1;
                let command = Command::SetUpstreams {
                    instance: sidecar.instance.clone(),
                    sequence: sidecar.reports,
                    upstreams: vec![upstream(versions.into_iter().collect())],
                    now_ms,
                };
                self.apply(&command);
            }
            Action::RequestPermit { recovery, held, .. } => {
                self.request_permit(number, recovery, held);
            }
            Action::ReleasePermit { .. } => {
                let fence = self.state.view().members.members[&sidecar.instance.name].fence;
                let name = sidecar.instance.name.clone();
                self.broker.release(&name, &"u".into(), fence);
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

    /// Steps a replaced incarnation that is granted every permit. Its orders do not reach the
    /// engine.
    fn step_replaced(&mut self, position: usize) {
        let now_ms = self.source.now_ms;
        let (number, replaced) = &mut self.replaced[position];
        match replaced.reconciler.step(&replaced.view, now_ms) {
            Action::Confirm if self.source.rng.random() => {
                replaced.view = self.state.view().clone();
                replaced.reconciler.view_confirmed(&replaced.view, now_ms);
            }
            Action::Read { sequence } => {
                let state = self.engines[*number].state.clone();
                replaced.reconciler.state_read(sequence, state, now_ms);
            }
            Action::RequestPermit {
                model,
                version,
                recovery,
                ..
            } => {
                let deadline_ms = now_ms + 5_000;
                replaced
                    .reconciler
                    .permit_granted(model, version, recovery, deadline_ms);
            }
            Action::Send { sequence, .. } => {
                let sends = self.sidecars[*number].sends;
                assert_eq!(sends, 0, "two incarnations send orders to one engine");
                let answer = OrderOutcome::Unknown;
                replaced.reconciler.order_answered(sequence, answer, now_ms);
                self.replaced_sends += 1;
            }
            _ => {}
        }
    }

    /// Returns the number of engines that have the active version and are not unloading it.
    fn serving(&self) -> usize {
        let version = &self.state.view().table.model(&model()).unwrap().version;
        let serves = |engine: &&Engine| {
            let unloads = matches!(
                &engine.in_progress,
                Some((Order::Unload { version: v, .. }, ..)) if v == version
            );
            engine.state.versions.contains(version) && !unloads
        };
        self.engines.iter().filter(serves).count()
    }

    fn step(&mut self) {
        self.source.now_ms += STEP_MS;
        for position in 0..self.replaced.len() {
            self.step_replaced(position);
        }
        for number in 0..self.engines.len() {
            self.run_engine(number);
            self.step_sidecar(number);
        }
    }

    fn inject_event(&mut self) {
        if self.source.chance(1) {
            self.broker = PermitBroker::new(MAX_LOADS, self.source.now_ms);
        }
        if self.source.rng.random_range(0..400) == 0 {
            // The replaced process keeps running; its last order ends before the new one registers.
            let number = self.source.rng.random_range(0..self.engines.len());
            self.engines[number].in_progress = None;
            let sidecar = self.start_sidecar(number);
            let replaced = std::mem::replace(&mut self.sidecars[number], sidecar);
            self.replaced.retain(|(other, _)| *other != number);
            self.replaced.push((number, replaced));
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

/// Guards against an order that leaves no replica with the active version, a second order while one
/// is in flight or its outcome is unknown, a load without a permit, more concurrent loads than
/// allowed, and rollouts that never complete.
#[test]
fn rollouts_keep_the_active_version_served() {
    let (mut loads, mut unloads, mut replaced_sends) = (0, 0, 0);
    for seed in seeds() {
        let mut simulation = Simulation::new(seed, 1 + usize::try_from(seed % 6).unwrap());
        let mut served = false;
        for _ in 0..3_000 {
            simulation.inject_event();
            simulation.step();
            served |= simulation.serving() > 0;
            assert!(
                !served || simulation.serving() > 0,
                "seed {seed}: no replica serves the model"
            );
        }
        let settled = (0..3_000).any(|_| {
            simulation.step();
            let view = simulation.state.view();
            let row = view.table.model(&model()).unwrap();
            let wanted: BTreeSet<_> = [Some(row.version.clone()), row.prepare_version.clone()]
                .into_iter()
                .flatten()
                .collect();
            simulation.engines.iter().all(|engine| {
                let versions = &engine.state.versions;
                let small = engine.state.max_versions < wanted.len();
                *versions == wanted || (small && versions.is_subset(&wanted) && versions.len() == 1)
            })
        });
        assert!(settled, "seed {seed}: the rollout does not complete");
        loads += simulation.loads;
        unloads += simulation.unloads;
        replaced_sends += simulation.replaced_sends;
    }
    assert!(
        loads > 100 && unloads > 50 && replaced_sends > 10,
        "{loads} loads, {unloads} unloads, {replaced_sends} orders of replaced incarnations"
    );
}
