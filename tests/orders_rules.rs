//! Permits, the rollout rule and the fencing number, case by case.

mod state_support;

use lilacspindle::domain::members::UpstreamInfo;
use lilacspindle::domain::orders::{
    Action, DropRefusal, FENCE_VALID_MS, OrderBook, PermitAnswer, PermitAsk, PermitBroker, Replica,
    may_drop,
};
use lilacspindle::domain::state::{Command, EditId, RowChange, State, View};
use lilacspindle::domain::table::{ModelRow, Row, RowKey};
use lilacspindle::model::{Fence, Incarnation, InstanceRef, ModelName, TableVersion};
use state_support::{replica, sidecar};

const ORDER_LIMIT_MS: u64 = 3_000;

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

/// Guards against rollouts that hold recoveries up, permits of replaced registrations, permits
/// that a new leader grants twice, and a whole model that loads at once.
#[test]
fn permits_prefer_recoveries_and_fall_with_their_fence() {
    let state = members(&["a", "b", "c", "d", "e"]);
    let members = &state.view().members;
    let ask = |name: &str, recovery, held| PermitAsk {
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
        granted(broker.ask(&ask("a", false, true), members, 10)),
        "a held permit is kept"
    );
    assert!(
        !granted(broker.ask(&ask("b", true, false), members, 10)),
        "leases are waited out"
    );
    assert!(granted(broker.ask(&ask("a", false, true), members, 4_900)));
    assert!(granted(broker.ask(&ask("b", true, false), members, 5_000)));
    assert!(
        !granted(broker.ask(&ask("c", false, false), members, 5_001)),
        "one in four at once"
    );
    assert!(granted(broker.ask(&ask("e", true, false), members, 5_002)));
    let other_model = PermitAsk {
        model: "n".into(),
        ..ask("c", false, false)
    };
    assert!(
        !granted(broker.ask(&other_model, members, 5_010)),
        "three loads at once"
    );
    assert!(
        !granted(broker.ask(&ask("d", true, false), members, 5_020)),
        "three loads at once"
    );
    broker.give_back(&"b".into(), &"u".into(), members.members["b"].fence);
    assert!(
        !granted(broker.ask(&other_model, members, 5_030)),
        "d is a recovery"
    );
    assert!(granted(broker.ask(&ask("d", true, false), members, 5_040)));
    broker.give_back(&"d".into(), &"u".into(), members.members["d"].fence);
    assert!(
        granted(broker.ask(&other_model, members, 5_050)),
        "no recovery waits"
    );
    let mut newer = state.clone();
    let mut member = members.members["a"].clone();
    member.incarnation = Incarnation(2);
    newer.apply(9, &Command::Register { member, now_ms: 2 });
    let answer = broker.ask(&ask("a", false, true), &newer.view().members, 5_060);
    assert_eq!(answer, PermitAnswer::Fenced { current: Fence(9) });
    assert_eq!(broker.held(5_060), 2, "the permit of the old fence falls");
}

/// Guards against two replicas that drop the version in force at once, each in reliance on the
/// other, and against the loss of the last replica that serves anything.
#[test]
fn only_later_replicas_drop_the_version_in_force() {
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
    // No replica reports version 1 yet, so the model starts without replicas.
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
        may_drop(&view(state), &model(), &replica, version, next)
    };
    assert_eq!(may(&state, "a", "0", None), Err(DropRefusal::NoneInForce));
    assert_eq!(
        may(&state, "a", "0", Some("1")),
        Ok(()),
        "this is the way to load it"
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
        Err(DropRefusal::LastInForce)
    );
    assert_eq!(may(&state, "b", "1", Some("2")), Ok(()));
    assert_eq!(may(&state, "a", "0", None), Ok(()));
}

/// Guards against orders of a sidecar whose fencing number is not known to be current.
#[test]
fn orders_need_a_confirmed_fence() {
    let mut state = members(&["a"]);
    let member = state.view().members.members["a"].clone();
    let own = InstanceRef {
        name: member.name.clone(),
        incarnation: member.incarnation,
    };
    let replica = Replica {
        instance: own.name.clone(),
        upstream: "u".into(),
    };
    let mut book = OrderBook::new(own, member.fence, replica, model(), ORDER_LIMIT_MS, 0);
    let old_view = View::default();
    assert_eq!(book.step(state.view(), 0), Action::Confirm);
    book.confirmed(&old_view, 0);
    assert_eq!(
        book.step(state.view(), 0),
        Action::Confirm,
        "the view is older than the fence"
    );
    book.confirmed(state.view(), 0);
    assert!(matches!(book.step(state.view(), 0), Action::Read { .. }));
    assert_eq!(book.step(state.view(), FENCE_VALID_MS), Action::Confirm);
    let mut newer = member;
    newer.incarnation = Incarnation(2);
    let register = Command::Register {
        member: newer,
        now_ms: 1,
    };
    let older = state.view().clone();
    state.apply(9, &register);
    book.confirmed(state.view(), FENCE_VALID_MS);
    assert_eq!(book.step(state.view(), FENCE_VALID_MS), Action::Stop);
    book.confirmed(&older, FENCE_VALID_MS);
    assert_eq!(
        book.step(&older, FENCE_VALID_MS),
        Action::Stop,
        "a fenced sidecar stays fenced"
    );
}
