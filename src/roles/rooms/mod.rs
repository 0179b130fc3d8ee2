//! Concurrency slots of an entry: renews its leases on slots and hands the slots out to requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::subscriber::Subscriber;
use crate::adapters::clock::monotonic_ms;
use crate::domain::room::{Demand, Holder, RoomKey, RoomTimes, Shortage};
use crate::model::{InstanceRef, KindName, Refusal, RefusalCode, WorkspaceName};
use crate::rpc::control::RoomReply;

/// Interval between renewals of all leases; a fifth of the lease time.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between two requests to the broker, also for rows that can't wait for the next
/// renewal.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of one request to the broker. A lease outlasts several lost requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a request without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound on the time that a request waits for the broker's answer, for example while a new
/// control leader is elected.
const MAX_QUEUE_WAIT_MS: u64 = 1_000;

/// The slots that this entry holds under leases from the slot broker at control.
pub struct Rooms {
    subscriber: Arc<Subscriber>,
    holder: Mutex<Holder>,
    /// Wakes the renewal task for rows that can't wait for the next renewal.
    urgent: Notify,
    /// Sequence number of the latest request that was answered.
    answered: watch::Sender<u64>,
}

impl Rooms {
    /// Starts the task that renews the leases.
    pub fn start(subscriber: Arc<Subscriber>) -> Arc<Self> {
        let rooms = Arc::new(Self {
            subscriber,
            holder: Mutex::new(Holder::new(RoomTimes::default(), monotonic_ms())),
            urgent: Notify::new(),
            answered: watch::Sender::new(0),
        });
        // The task ends once the last reference to `Rooms` is dropped.
        tokio::spawn(renew(Arc::downgrade(&rooms)));
        rooms
    }

    /// Takes the slots of one generation: one of the workspace and one of the kind in it, each only
    /// if a limit is set there. Refuses with `NoRoom` as soon as the broker has no slot to grant,
    /// at the latest at `deadline_at_ms` on the monotonic clock.
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

    /// Takes over the slots of a generation from another entry that no longer responds. The caller
    /// must not read the generation until this returns, because reading keeps it running.
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
                    retry_after_ms: Some(MAX_QUEUE_WAIT_MS),
                });
            }
        }
    }

    /// Returns all unused slots to the broker and requests no more. Called on a planned shutdown.
    pub fn drain(&self) {
        self.lock().leave();
        self.urgent.notify_one();
    }

    /// Returns the numbers of slots of a row that are in use by this entry and granted to it.
    pub fn usage(&self, row: &RoomKey) -> (u32, u32) {
        let holder = self.lock();
        (holder.used(row), holder.granted(row))
    }

    fn lock(&self) -> MutexGuard<'_, Holder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the two rows that a generation counts against: its workspace's and its kind's.
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
        let deadline = instant_at(deadline_at_ms.min(monotonic_ms() + MAX_QUEUE_WAIT_MS));
        loop {
            let changed = timeout_at(deadline, answered.changed()).await.is_ok();
            let shortage = match self.try_acquire(demands) {
                Ok(guard) => return Ok(guard),
                Err(shortage) => shortage,
            };
            // A request with a higher sequence number was sent after this caller joined the queue,
            // so it has already asked for the caller's slot.
            if !changed || *answered.borrow_and_update() > joined_at_sequence {
                return Err(no_room(&shortage));
            }
        }
    }

    /// Sends one request to the broker: a renewal of all leases or, if `partial`, a request for the
    /// urgent rows only. Returns true if it was answered.
    async fn request_slots(&self, partial: bool) -> bool {
        let view = self.subscriber.view();
        let request = {
            let limited = |row: &RoomKey| row.limit(&view.table).is_some();
            let stamp = self.subscriber.stamp();
            self.lock().request(stamp, partial, limited, monotonic_ms())
        };
        match self
            .subscriber
            .calls()
            .room(&request, REQUEST_TIMEOUT)
            .await
        {
            Ok(reply) => {
                self.apply_reply(&reply);
                true
            }
            Err(error) => {
                tracing::debug!(%error, "failed to renew the leases on slots; retrying");
                false
            }
        }
    }

    fn apply_reply(&self, reply: &RoomReply) {
        self.subscriber.observe(&reply.stamp);
        if self.lock().apply(reply, monotonic_ms()) {
            self.answered.send_replace(reply.sequence);
        }
    }
}

/// Renews the leases, and sends earlier requests for rows that can't wait for the next renewal.
async fn renew(rooms: std::sync::Weak<Rooms>) {
    let mut renew_at = Instant::now();
    loop {
        let Some(rooms) = rooms.upgrade() else {
            return;
        };
        let full = Instant::now() >= renew_at || !rooms.lock().has_lease(monotonic_ms());
        let sent_at = Instant::now();
        let answered = rooms.request_slots(!full).await;
        match (answered, full) {
            (false, _) => sleep(RETRY_DELAY).await,
            (true, true) => renew_at = sent_at + RENEW_INTERVAL,
            (true, false) => {}
        }
        sleep_until(sent_at + MIN_REQUEST_INTERVAL).await;
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

/// The slots of one generation; dropping the guard releases them.
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

/// A caller's place in the queue. Dropping it leaves the queue, also when the caller is cancelled.
struct QueuePlace {
    rooms: Arc<Rooms>,
    demands: Vec<Demand>,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.rooms.lock().leave_queue(&self.demands);
    }
}

/// An adoption in progress; dropping it ends the adoption at the holder.
struct PendingAdoption {
    rooms: Arc<Rooms>,
    id: u64,
}

impl Drop for PendingAdoption {
    fn drop(&mut self) {
        self.rooms.lock().abandon(self.id);
    }
}
