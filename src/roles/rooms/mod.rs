//! Slots of an entry: keeps its leases renewed and hands slots out to requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::subscriber::Subscriber;
use crate::adapters::clock::monotonic_ms;
use crate::domain::room::{Demand, Holder, RoomKey, RoomTimes, Shortage};
use crate::model::{InstanceRef, KindName, Refusal, RefusalCode, WorkspaceName};
use crate::rpc::control::RoomReply;

/// Time between renewals of all leases, a fifth of the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two requests for rows that cannot wait for a renewal.
const URGENT_SPACING: Duration = Duration::from_millis(10);
/// Limit of one request; a lease outlasts several lost ones.
const REQUEST_LIMIT: Duration = Duration::from_secs(1);
/// Pause after a request without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound on the time that a request waits for the broker's answer, for example while a new
/// control leader is elected.
const QUEUE_LIMIT_MS: u64 = 1_000;

/// The slots of this entry.
pub struct Rooms {
    subscriber: Arc<Subscriber>,
    holder: Mutex<Holder>,
    urgent: Notify,
    /// The sequence of the latest request that was answered.
    answered: watch::Sender<u64>,
}

impl Rooms {
    /// Starts renewing leases.
    pub fn start(subscriber: Arc<Subscriber>) -> Arc<Self> {
        let rooms = Arc::new(Self {
            subscriber,
            holder: Mutex::new(Holder::new(RoomTimes::default(), monotonic_ms())),
            urgent: Notify::new(),
            answered: watch::Sender::new(0),
        });
        // The task ends with the last user of the slots.
        tokio::spawn(renew(Arc::downgrade(&rooms)));
        rooms
    }

    /// Takes a slot in the room of the workspace and of the kind, for one generation. Refuses with
    /// `NoRoom` as soon as the broker has none to give, at the latest at `deadline_at_ms` on the
    /// monotonic clock.
    pub async fn acquire(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        kind: &KindName,
        deadline_at_ms: u64,
    ) -> Result<SlotGuard, Refusal> {
        let demands = self.demands(workspace, kind);
        let shortage = match self.try_acquire(&demands) {
            Ok(guard) => return Ok(guard),
            Err(shortage) => shortage,
        };
        match shortage.may_ask {
            true => self.wait_for_slot(demands, deadline_at_ms).await,
            false => Err(no_room(&shortage)),
        }
    }

    /// Takes over the slots of a generation of another entry that fell silent. Until this returns,
    /// the generation must not be read, because reading keeps it running.
    pub async fn adopt(
        self: &Arc<Self>,
        from: &InstanceRef,
        workspace: &WorkspaceName,
        kind: &KindName,
        deadline_at_ms: u64,
    ) -> Result<SlotGuard, Refusal> {
        let demands = self.demands(workspace, kind);
        let adoption = PendingAdoption {
            id: self.lock().adopt(from, &demands),
            rooms: Arc::clone(self),
        };
        let mut answered = self.answered.subscribe();
        let deadline = instant_at(deadline_at_ms);
        loop {
            if self.lock().adopted(adoption.id, &demands, monotonic_ms()) {
                return Ok(self.guard(demands));
            }
            self.urgent.notify_one();
            if timeout_at(deadline, answered.changed()).await.is_err() {
                return Err(Refusal {
                    code: RefusalCode::NoRoom,
                    message: format!(
                        "the slot of {} in workspace/{workspace} was not moved",
                        from.name
                    ),
                    retry_after_ms: Some(QUEUE_LIMIT_MS),
                });
            }
        }
    }

    /// Gives back all slots that are not in use and asks for no more. Call it on a planned stop.
    pub fn drain(&self) {
        self.lock().leave();
        self.urgent.notify_one();
    }

    /// Returns the slots of a row that are in use here, and those granted.
    pub fn usage(&self, row: &RoomKey) -> (u32, u32) {
        let holder = self.lock();
        (holder.used(row), holder.granted(row))
    }

    fn lock(&self) -> MutexGuard<'_, Holder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn demands(&self, workspace: &WorkspaceName, kind: &KindName) -> Vec<Demand> {
        let view = self.subscriber.view();
        let rows = [None, Some(kind.clone())].map(|kind| RoomKey {
            workspace: workspace.clone(),
            kind,
        });
        let demand = |row: RoomKey| Demand {
            limited: row.limit(&view.table).is_some(),
            row,
        };
        rows.into_iter().map(demand).collect()
    }

    fn try_acquire(self: &Arc<Self>, demands: &[Demand]) -> Result<SlotGuard, Shortage> {
        self.lock().acquire(demands, monotonic_ms())?;
        Ok(self.guard(demands.to_vec()))
    }

    fn guard(self: &Arc<Self>, demands: Vec<Demand>) -> SlotGuard {
        SlotGuard {
            rooms: Arc::clone(self),
            demands,
            taken_at_ms: monotonic_ms(),
        }
    }

    async fn wait_for_slot(
        self: &Arc<Self>,
        demands: Vec<Demand>,
        deadline_at_ms: u64,
    ) -> Result<SlotGuard, Refusal> {
        let mut answered = self.answered.subscribe();
        let joined_at_sequence = {
            let mut holder = self.lock();
            holder.join_queue(&demands, monotonic_ms());
            holder.sequence()
        };
        let place = QueuePlace {
            rooms: Arc::clone(self),
            demands,
        };
        let demands = &place.demands;
        self.urgent.notify_one();
        let deadline = instant_at(deadline_at_ms.min(monotonic_ms() + QUEUE_LIMIT_MS));
        loop {
            let changed = timeout_at(deadline, answered.changed()).await.is_ok();
            let shortage = match self.try_acquire(demands) {
                Ok(guard) => return Ok(guard),
                Err(shortage) => shortage,
            };
            // A request that was sent after this caller joined the queue has asked for its slot.
            if !changed || *answered.borrow_and_update() > joined_at_sequence {
                return Err(no_room(&shortage));
            }
        }
    }

    async fn ask(&self, partial: bool) -> bool {
        let view = self.subscriber.view();
        let request = {
            let limited = |row: &RoomKey| row.limit(&view.table).is_some();
            let stamp = self.subscriber.stamp();
            self.lock().request(stamp, partial, limited, monotonic_ms())
        };
        match self.subscriber.calls().room(&request, REQUEST_LIMIT).await {
            Ok(reply) => {
                self.note_reply(&reply);
                true
            }
            Err(error) => {
                tracing::debug!(%error, "leases on slots are not renewed yet");
                false
            }
        }
    }

    fn note_reply(&self, reply: &RoomReply) {
        self.subscriber.observe(&reply.stamp);
        if self.lock().apply(reply, monotonic_ms()) {
            self.answered.send_replace(reply.sequence);
        }
    }
}

/// Renews leases, and asks earlier for rows that cannot wait.
async fn renew(rooms: std::sync::Weak<Rooms>) {
    let mut renew_at = Instant::now();
    loop {
        let Some(rooms) = rooms.upgrade() else {
            return;
        };
        let full = Instant::now() >= renew_at || !rooms.lock().has_lease(monotonic_ms());
        let sent_at = Instant::now();
        let answered = rooms.ask(!full).await;
        match (answered, full) {
            (false, _) => sleep(RETRY_PAUSE).await,
            (true, true) => renew_at = sent_at + RENEW_INTERVAL,
            (true, false) => {}
        }
        sleep_until(sent_at + URGENT_SPACING).await;
        let is_urgent = rooms.lock().is_urgent();
        if !is_urgent {
            let _ = timeout_at(renew_at, rooms.urgent.notified()).await;
        }
    }
}

fn instant_at(at_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(at_ms.saturating_sub(monotonic_ms()))
}

fn no_room(shortage: &Shortage) -> Refusal {
    Refusal {
        code: RefusalCode::NoRoom,
        message: match shortage.has_lease {
            true => format!("all room_slots of {} are in use", shortage.row),
            false => format!("control has not renewed the lease on {}", shortage.row),
        },
        retry_after_ms: Some(shortage.retry_after_ms),
    }
}

/// The slots of one generation; they are given back when this is dropped.
pub struct SlotGuard {
    rooms: Arc<Rooms>,
    demands: Vec<Demand>,
    taken_at_ms: u64,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let ran_ms = monotonic_ms().saturating_sub(self.taken_at_ms);
        let is_urgent = self.rooms.lock().release(&self.demands, ran_ms);
        if is_urgent {
            self.rooms.urgent.notify_one();
        }
    }
}

/// A caller in the queue; leaves it when dropped, also when the caller gives up.
struct QueuePlace {
    rooms: Arc<Rooms>,
    demands: Vec<Demand>,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.rooms.lock().leave_queue(&self.demands);
    }
}

struct PendingAdoption {
    rooms: Arc<Rooms>,
    id: u64,
}

impl Drop for PendingAdoption {
    fn drop(&mut self) {
        self.rooms.lock().abandon(self.id);
    }
}
