//! Slot leases between entries and the control leader, over real TCP connections.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lilacspindle::adapters::clock::monotonic_ms;
use lilacspindle::bench::distribution::fleet::{
    DaemonSpec, Process, edit, start_control, start_daemon, wait_for_version, workspace_change,
};
use lilacspindle::domain::members::Role;
use lilacspindle::model::{KindName, Refusal, RefusalCode, WorkspaceName};
use lilacspindle::roles::rooms::{Rooms, SlotGuard};

const WAIT: Duration = Duration::from_secs(10);

async fn acquire(rooms: &Arc<Rooms>, workspace: &str) -> Result<SlotGuard, Refusal> {
    let workspace = WorkspaceName::from(workspace);
    let kind = KindName::from("essay");
    rooms
        .acquire(&workspace, &kind, monotonic_ms() + 5_000)
        .await
}

async fn acquire_within(rooms: &Arc<Rooms>, workspace: &str, limit: Duration) -> SlotGuard {
    let end = Instant::now() + limit;
    loop {
        match acquire(rooms, workspace).await {
            Ok(guard) => return guard,
            Err(refusal) => assert!(Instant::now() < end, "{refusal:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts control in its first term, which has no grace period, and two entries that share a row of
/// `room_slots` slots.
async fn start(room_slots: u32) -> (Process, [Process; 2], [Arc<Rooms>; 2]) {
    let control = start_control(32).await.unwrap();
    let addresses = [control.address];
    let entries = [
        start_daemon(&DaemonSpec::new("e1", 1, Role::Entry), &addresses)
            .await
            .unwrap(),
        start_daemon(&DaemonSpec::new("e2", 1, Role::Entry), &addresses)
            .await
            .unwrap(),
    ];
    let change = workspace_change("w", Some(room_slots), 1);
    let version = edit(&control, "room", vec![change]).await.unwrap();
    for entry in &entries {
        assert!(wait_for_version(entry, version, WAIT).await);
    }
    let rooms = [
        Rooms::start(Arc::clone(&entries[0].subscriber)),
        Rooms::start(Arc::clone(&entries[1].subscriber)),
    ];
    (control, entries, rooms)
}

/// Guards against a limit that applies to each entry instead of the whole fleet, and against slots
/// that are not granted to another entry once their holder no longer uses them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_entries_share_the_slots_of_one_row() {
    let (_control, _entries, [first, second]) = start(2).await;
    let held = [
        acquire_within(&first, "w", WAIT).await,
        acquire_within(&first, "w", WAIT).await,
    ];
    let refusal = acquire(&second, "w").await.err().unwrap();
    assert_eq!(refusal.code, RefusalCode::NoRoom);
    assert!(refusal.retry_after_ms.is_some_and(|retry_ms| retry_ms > 0));
    drop(held);
    let _taken = [
        acquire_within(&second, "w", WAIT).await,
        acquire_within(&second, "w", WAIT).await,
    ];
    assert!(acquire(&first, "w").await.is_err());
}

/// Guards against an entry that keeps idle slots after its planned stop has begun.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_entry_returns_idle_slots_at_once() {
    let (control, _entries, [first, second]) = start(3).await;
    let _running = acquire_within(&first, "w", WAIT).await;
    first.drain();
    let _others = [
        acquire_within(&second, "w", WAIT).await,
        acquire_within(&second, "w", WAIT).await,
    ];
    assert!(acquire(&second, "w").await.is_err());
    drop(control);
}

/// Guards against rows without a limit whose generations are refused while control is unreachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_row_without_limit_needs_no_lease() {
    let (control, _entries, [first, _]) = start(1).await;
    drop(control);
    assert!(acquire(&first, "unlimited").await.is_ok());
}
