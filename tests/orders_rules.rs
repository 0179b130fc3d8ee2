//! Rules for load permits, for unloading versions and for fencing numbers.

mod state_support;

use lilacspindle::domain::members::UpstreamInfo;
use lilacspindle::domain::orders::{
    Action, EngineReconciler, FENCE_CONFIRMATION_MS, LoadPermitRequest, PermitAnswer, PermitBroker,
    Replica, UnloadRefusal, may_unload,
};
use lilacspindle::domain::state::{Command, EditId, RowChange, State, View};
use lilacspindle::domain::table::{ModelRow, Row, RowKey};
use lilacspindle::model::{Fence, Incarnation, InstanceRef, ModelName, TableVersion};
use state_support::{replica, sidecar};

const ORDER_TIMEOUT_MS: u64 = 3_000;

fn model() -> ModelName {
    "m".into()
}

fn upstream(versions: Vec<String>) -> UpstreamInfo {
    replica("u", "m", versions)
}

fn members(names: &[&str]) -> State {
    let mut state = State::default();
    for (index, name) in (1..).zip(names) {
        let member = sidecar(name, 1, vec![upstream(Vec::new())]);
        state.apply(index, &Command::Register { member, now_ms: 1 });
    }
    state
}

/// Guards against rollouts that delay recoveries, permits that outlive the registration they were
/// granted to, permits that a new leader grants twice, and all replicas of a model loading at once.
#[test]
fn permits_prefer_recoveries_and_end_with_their_registration() {
    let state = members(&["a", "b", "c", "d", "e"]);
    let members = &state.view().members;
    let request = |name: &str, recovery, held| LoadPermitRequest {
        instance: name.into(),
        fence: members.members[name].fence,
        upstream: "u".into(),
        model: model(),
        recovery,
        held,
    };
    let granted = |answer| matches!(answer, PermitAnswer::Granted { .. });
    let mut broker = PermitBroker::new(3, 0);
    assert!(
        granted(broker.request(&request("a", false, true), members, 10)),
        "a new leader accepts the renewal of a held permit"
    );
    assert!(
        !granted(broker.request(&request("b", true, false), members, 10)),
        "a new leader grants no new permit before the former leases have expired"
    );
    assert!(granted(broker.request(
        &request("a", false, true),
        members,
        4_900
    )));
    assert!(granted(broker.request(
        &request("b", true, false),
        members,
        5_000
    )));
    assert!(
        !granted(broker.request(&request("c", false, false), members, 5_001)),
        "at most a quarter of the replicas load for a rollout at once"
    );
    assert!(granted(broker.request(
        &request("e", true, false),
        members,
        5_002
    )));
    let other_model = LoadPermitRequest {
        model: "n".into(),
        ..request("c", false, false)
    };
    assert!(
        !granted(broker.request(&other_model, members, 5_010)),
        "at most three loads at once"
    );
    assert!(
        !granted(broker.request(&request("d", true, false), members, 5_020)),
        "at most three loads at once"
    );
    broker.release(&"b".into(), &"u".into(), members.members["b"].fence);
    assert!(
        !granted(broker.request(&other_model, members, 5_030)),
        "the waiting recovery of d comes first"
    );
    assert!(granted(broker.request(
        &request("d", true, false),
        members,
        5_040
    )));
    broker.release(&"d".into(), &"u".into(), members.members["d"].fence);
    assert!(
        granted(broker.request(&other_model, members, 5_050)),
        "no recovery is waiting"
    );
    let mut newer = state.clone();
    let mut member = members.members["a"].clone();
    member.incarnation = Incarnation(2);
    newer.apply(9, &Command::Register { member, now_ms: 2 });
    let answer = broker.request(&request("a", false, true), &newer.view().members, 5_060);
    assert_eq!(answer, PermitAnswer::Fenced { current: Fence(9) });
    assert_eq!(
        broker.held(5_060),
        2,
        "the permit of the replaced registration is removed"
    );
}

/// Guards against two replicas that unload the active version at once, each in reliance on the
/// other, and against unloading on the last replica that serves the model.
#[test]
fn only_later_replicas_unload_the_active_version() {
    let mut state = members(&["a", "b"]);
    let row = ModelRow {
        version: "1".to_owned(),
        prepare_version: Some("2".to_owned()),
        adapter: None,
    };
    let edit = Command::Edit {
        id: EditId("e".to_owned()),
        author: "ann".to_owned(),
        base: TableVersion(0),
        changes: vec![RowChange {
            key: RowKey::Model(model()),
            row: Some(Row::Model(row)),
        }],
        now_ms: 1,
    };
    // The edit is applied to a state without members, since no replica has reported version 1 yet.
    let mut empty = State::default();
    empty.apply(1, &edit);
    let table = empty.view().table.clone();
    let view = |state: &State| View {
        table: table.clone(),
        ..state.view().clone()
    };
    let may = |state: &State, name: &str, version: &str, next| {
        let replica = Replica {
            instance: name.into(),
            upstream: "u".into(),
        };
        may_unload(&view(state), &model(), &replica, version, next)
    };
    assert_eq!(
        may(&state, "a", "0", None),
        Err(UnloadRefusal::NoActiveReplica)
    );
    assert_eq!(
        may(&state, "a", "0", Some("1")),
        Ok(()),
        "a replica may switch to the active version"
    );
    for (index, name) in [(10, "a"), (11, "b")] {
        let member = &state.view().members.members[name];
        let instance = InstanceRef {
            name: member.name.clone(),
            incarnation: member.incarnation,
        };
        let upstreams = vec![upstream(vec!["0".to_owned(), "1".to_owned()])];
        let command = Command::SetUpstreams {
            instance,
            sequence: 1,
            upstreams,
            now_ms: 1,
        };
        state.apply(index, &command);
    }
    assert_eq!(
        may(&state, "a", "1", Some("2")),
        Err(UnloadRefusal::LastActiveReplica)
    );
    assert_eq!(may(&state, "b", "1", Some("2")), Ok(()));
    assert_eq!(may(&state, "a", "0", None), Ok(()));
}

/// Guards against orders from a sidecar whose fencing number is not confirmed as current.
#[test]
fn orders_need_a_confirmed_fence() {
    let mut state = members(&["a"]);
    let member = state.view().members.members["a"].clone();
    let instance = InstanceRef {
        name: member.name.clone(),
        incarnation: member.incarnation,
    };
    let replica = Replica {
        instance: instance.name.clone(),
        upstream: "u".into(),
    };
    let mut reconciler = EngineReconciler::new(
        instance,
        member.fence,
        replica,
        model(),
        ORDER_TIMEOUT_MS,
        0,
    );
    let old_view = View::default();
    assert_eq!(reconciler.step(state.view(), 0), Action::Confirm);
    reconciler.view_confirmed(&old_view, 0);
    assert_eq!(
        reconciler.step(state.view(), 0),
        Action::Confirm,
        "the view is older than the registration"
    );
    reconciler.view_confirmed(state.view(), 0);
    assert!(matches!(
        reconciler.step(state.view(), 0),
        Action::Read { .. }
    ));
    assert_eq!(
        reconciler.step(state.view(), FENCE_CONFIRMATION_MS),
        Action::Confirm
    );
    let mut newer = member;
    newer.incarnation = Incarnation(2);
    let register = Command::Register {
        member: newer,
        now_ms: 1,
    };
    let older = state.view().clone();
    state.apply(9, &register);
    reconciler.view_confirmed(state.view(), FENCE_CONFIRMATION_MS);
    assert_eq!(
        reconciler.step(state.view(), FENCE_CONFIRMATION_MS),
        Action::Stop
    );
    reconciler.view_confirmed(&older, FENCE_CONFIRMATION_MS);
    assert_eq!(
        reconciler.step(&older, FENCE_CONFIRMATION_MS),
        Action::Stop,
        "a fenced sidecar stays fenced"
    );
}
