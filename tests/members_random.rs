//! Randomised runs of membership changes against a reference implementation, and tests of the merge
//! with the platform's list.

mod state_support;

use std::collections::{BTreeMap, BTreeSet};

use lilacspindle::domain::members::{
    GONE_RETENTION_MS, MAX_CLOCK_OFFSET_MS, Phase, PlatformInstance, PlatformList, UpstreamInfo,
    merge,
};
use lilacspindle::domain::state::{Command, RegisterAnswer, Response, State};
use lilacspindle::model::{Fence, InstanceRef};
use rand::prelude::*;
use state_support::{Source, seeds, sidecar};

/// Reference implementation that never forgets an incarnation; at most six exist per instance.
#[derive(Default)]
struct ReferenceMembers {
    current: BTreeMap<String, (InstanceRef, Fence, Phase)>,
    retired: BTreeSet<InstanceRef>,
    /// For each current incarnation, the report with the highest sequence number.
    reports: BTreeMap<String, (u64, Vec<UpstreamInfo>)>,
}

impl ReferenceMembers {
    fn register(&mut self, instance: &InstanceRef, index: u64) -> RegisterAnswer {
        let name = instance.name.to_string();
        match self.current.get(&name) {
            _ if self.retired.contains(instance) => return RegisterAnswer::Replaced,
            Some((old, _, Phase::Gone)) if old == instance => return RegisterAnswer::Replaced,
            Some((old, fence, _)) if old == instance => return RegisterAnswer::Registered(*fence),
            Some((old, ..)) => {
                self.retired.insert(old.clone());
            }
            None => {}
        }
        self.reports.remove(&name);
        let entry = (instance.clone(), Fence(index), Phase::Live);
        self.current.insert(name, entry);
        RegisterAnswer::Registered(Fence(index))
    }

    fn report(&mut self, instance: &InstanceRef, sequence: u64, upstreams: &[UpstreamInfo]) {
        let name = instance.name.as_str();
        let current = self.current.get(name);
        if current.is_none_or(|(own, _, phase)| own != instance || *phase == Phase::Gone) {
            return;
        }
        let last = self.reports.entry(name.to_owned()).or_default();
        if sequence > last.0 {
            *last = (sequence, upstreams.to_vec());
        }
    }

    fn set_phase(&mut self, instance: &InstanceRef, phase: Phase) {
        match self.current.get_mut(instance.name.as_str()) {
            Some((current, _, old)) if current == instance => *old = phase.max(*old),
            _ => {}
        }
    }
}

/// Guards against a replaced incarnation that registers again, a fencing number that decreases, and
/// a phase that goes back within an incarnation.
#[test]
fn members_match_the_reference() {
    let (mut registered, mut replaced) = (0, 0);
    for seed in seeds() {
        let mut source = Source::new(seed);
        let (mut state, mut reference) = (State::default(), ReferenceMembers::default());
        for index in 1..=400 {
            source.now_ms += if source.chance(3) { 300_000 } else { 100 };
            // Starts again from time to time, since the six incarnations per name are soon used up.
            if source.chance(1) {
                (state, reference) = (State::default(), ReferenceMembers::default());
            }
            if source.chance(5) {
                state = State::restore(&state.snapshot()).unwrap();
            }
            let command = source.member_command();
            let (response, _) = state.apply(index, &command);
            match &command {
                Command::Register { member, .. } => {
                    let instance = InstanceRef {
                        name: member.name.clone(),
                        incarnation: member.incarnation,
                    };
                    let expected = reference.register(&instance, index);
                    registered += usize::from(expected == RegisterAnswer::Registered(Fence(index)));
                    replaced += usize::from(expected == RegisterAnswer::Replaced);
                    assert_eq!(response, Response::Register(expected), "seed {seed}");
                }
                Command::SetPhase {
                    instance, phase, ..
                } => reference.set_phase(instance, *phase),
                Command::SetUpstreams {
                    instance,
                    sequence,
                    upstreams,
                    ..
                } => reference.report(instance, *sequence, upstreams),
                _ => {}
            }
            for member in state.view().members.members.values() {
                let (current, fence, phase) = &reference.current[member.name.as_str()];
                assert_eq!(member.incarnation, current.incarnation, "seed {seed}");
                assert_eq!(
                    (member.fence, member.phase),
                    (*fence, *phase),
                    "seed {seed}"
                );
                if let Some((1.., upstreams)) = reference.reports.get(member.name.as_str()) {
                    assert_eq!(
                        member.upstreams, *upstreams,
                        "seed {seed}: an older report replaced a newer one"
                    );
                }
            }
            let alive = reference
                .current
                .values()
                .filter(|(.., phase)| *phase != Phase::Gone);
            for (instance, ..) in alive {
                let members = &state.view().members.members;
                assert!(
                    members.contains_key(&instance.name),
                    "seed {seed}: {instance:?} was removed while it is not gone"
                );
            }
        }
    }
    assert!(
        registered > 100 && replaced > 100,
        "{registered} registered, {replaced} replaced"
    );
}

fn register(state: &mut State, index: u64, name: &str, now_ms: u64) {
    let member = sidecar(name, index, Vec::new());
    state.apply(index, &Command::Register { member, now_ms });
}

/// Guards against an outdated list that removes an instance which registered after the list was
/// made, a leaving instance that is taken for live, and members that are never removed.
#[test]
fn an_outdated_list_does_not_remove_later_registrations() {
    let mut state = State::default();
    let made_at_ms = 1_000_000;
    for (index, name, now_ms) in [
        (1, "old", 1_000),
        (2, "leaving", 1_000),
        (3, "kept", 1_000),
        (4, "just", made_at_ms - MAX_CLOCK_OFFSET_MS),
        (5, "new", made_at_ms + 1),
        (6, "restarted", made_at_ms + 1),
    ] {
        register(&mut state, index, name, now_ms);
    }
    let list = PlatformList {
        made_at_ms,
        instances: [
            ("leaving".into(), PlatformInstance::Leaving),
            ("kept".into(), PlatformInstance::Live),
            ("restarted".into(), PlatformInstance::Leaving),
        ]
        .into(),
    };
    let commands =
        |state: &State, now_ms| merge(&state.view().members, state.registry(), &list, now_ms);
    let first = commands(&state, made_at_ms + 50);
    for (index, command) in (10..).zip(&first) {
        state.apply(index, command);
    }
    let phases = |state: &State| -> Vec<(String, Phase)> {
        let members = state.view().members.members.values();
        members
            .map(|member| (member.name.to_string(), member.phase))
            .collect()
    };
    let expected = [
        ("just", Phase::Live),
        ("kept", Phase::Live),
        ("leaving", Phase::Leaving),
        ("new", Phase::Live),
        ("old", Phase::Gone),
        ("restarted", Phase::Live),
    ];
    let expected = expected.map(|(name, phase)| (name.to_owned(), phase));
    assert_eq!(phases(&state), expected);
    assert_eq!(
        commands(&state, made_at_ms + 60),
        [],
        "a second merge changes nothing"
    );
    register(&mut state, 30, "later", made_at_ms + 50 + GONE_RETENTION_MS);
    let names: Vec<_> = phases(&state).into_iter().map(|(name, _)| name).collect();
    assert_eq!(
        names,
        ["just", "kept", "later", "leaving", "new", "restarted"]
    );
}

/// Guards against a merge that lowers a phase or changes a replaced incarnation, for any list.
#[test]
fn merges_only_raise_phases() {
    for seed in seeds() {
        let mut source = Source::new(seed);
        let mut state = State::default();
        for index in 1..=300 {
            source.now_ms += 20_000;
            let mut commands = vec![source.member_command()];
            if source.chance(30) {
                let names = ["i", "j", "k"].into_iter().filter(|_| source.rng.random());
                let names: Vec<_> = names.collect();
                let list = PlatformList {
                    made_at_ms: source.now_ms - source.rng.random_range(0..200_000),
                    instances: names
                        .into_iter()
                        .map(|name| (name.into(), PlatformInstance::Leaving))
                        .collect(),
                };
                commands = merge(
                    &state.view().members,
                    state.registry(),
                    &list,
                    source.now_ms,
                );
                for command in &commands {
                    let Command::SetPhase {
                        instance, phase, ..
                    } = command
                    else {
                        panic!("not a SetPhase command: {command:?}");
                    };
                    let member = &state.view().members.members[&instance.name];
                    assert!(member.phase < *phase && member.incarnation == instance.incarnation);
                    let registered_at_ms = state.registry().registered_at_ms(&instance.name);
                    assert!(registered_at_ms < Some(list.made_at_ms), "seed {seed}");
                }
            }
            for (offset, command) in (0..).zip(&commands) {
                state.apply(index * 10 + offset, command);
            }
        }
    }
}
