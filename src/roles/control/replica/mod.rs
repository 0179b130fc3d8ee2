//! A replica of the log: the consensus core with a clock, a data folder and connections to its
//! peers.

mod driver;
mod formation;
mod links;
mod metrics;
mod server;
mod status;

use std::fmt;
use std::net::SocketAddr;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::adapters::disk::{DiskError, FileOps};
use crate::domain::log::{LeaveResult, Options};
use crate::model::InstanceName;
use crate::rpc::peer::Peer;
use crate::rpc::{Service, wrap};
use crate::settings::{ControlSettings, PeerAddress};
use driver::{Driver, Input};

pub(crate) use formation::{Caller, hello};
pub use server::PeerServer;
pub use status::{MemberStatus, ReplicaStatus};

/// Limit on the size of a command. An edit of a table of 20,000 workspaces takes 1.8 MB. A frame
/// between replicas is at most 4 MiB and may also hold up to 1 MiB of other messages.
pub const MAX_COMMAND_BYTES: usize = 2 * 1024 * 1024;
/// Capacity of the driver thread's input queue.
const INPUT_QUEUE_CAPACITY: usize = 16_384;
/// Interval between attempts to confirm a read, or to queue a stop request while the queue is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

type ApplyCommand = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;
type RestoreState = Box<dyn FnMut(&[u8]) + Send>;

/// The state machine that the log replicates. All calls come from one thread, in log order.
pub struct StateMachine {
    /// Applies the command at an index and returns its answer.
    pub apply: ApplyCommand,
    /// Returns the whole state.
    pub snapshot: Box<dyn FnMut() -> Vec<u8> + Send>,
    /// Replaces the whole state with one that `snapshot` returned.
    pub restore: RestoreState,
}

/// Why a command was not answered or a read was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// Another replica leads, or none; the command is not in the log.
    NotLeader { leader: Option<SocketAddr> },
    /// The command may or may not take effect, or a read was not confirmed in time.
    Undecided,
    /// The replica has stopped, on request or after a disk error.
    Stopped,
    /// The command is larger than `MAX_COMMAND_BYTES`; it is not in the log.
    TooLarge,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader {
                leader: Some(address),
            } => write!(f, "the leader is at {address}"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known"),
            Self::Undecided => f.write_str("not decided in time"),
            Self::Stopped => f.write_str("the replica has stopped"),
            Self::TooLarge => write!(f, "larger than {MAX_COMMAND_BYTES} bytes"),
        }
    }
}

impl std::error::Error for SubmitError {}

/// A handle to a running replica.
#[derive(Clone)]
pub struct Replica {
    inputs: SyncSender<Input>,
    status: watch::Receiver<ReplicaStatus>,
    server: PeerServer,
}

/// The peers known to a replica, used to form or join a cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peers {
    pub known: Vec<PeerAddress>,
    /// True if the known peers may form a new cluster. False once a cluster has existed, because a
    /// replica that has lost its data folder must join that one.
    pub may_form: bool,
}

/// The name and RPC address of a replica.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: InstanceName,
    pub rpc_address: SocketAddr,
}

impl Replica {
    /// Opens the data folder and starts the replica. Must be called within a Tokio runtime.
    pub fn open(
        settings: &ControlSettings,
        endpoint: Endpoint,
        machine: StateMachine,
    ) -> Result<Self, DiskError> {
        Self::open_with(
            settings,
            endpoint,
            machine,
            FileOps::real(),
            Options::default(),
        )
    }

    /// Like `open`, with other file operations and options, for tests.
    pub fn open_with(
        settings: &ControlSettings,
        endpoint: Endpoint,
        machine: StateMachine,
        ops: FileOps,
        options: Options,
    ) -> Result<Self, DiskError> {
        let peers = Peers {
            known: settings.peers.clone(),
            may_form: true,
        };
        // The peers from the settings never change, so the sender can be dropped.
        let (_, peers) = watch::channel(peers);
        Self::open_among(settings, endpoint, machine, ops, options, peers)
    }

    /// Like `open_with`, with peers that may change while the replica runs.
    pub fn open_among(
        settings: &ControlSettings,
        endpoint: Endpoint,
        machine: StateMachine,
        ops: FileOps,
        options: Options,
        peers: watch::Receiver<Peers>,
    ) -> Result<Self, DiskError> {
        let (inputs, received) = sync_channel(INPUT_QUEUE_CAPACITY);
        let driver = Driver::open(settings, &endpoint, machine, ops, options)?;
        let status = driver.watch();
        let server = PeerServer::new(
            inputs.clone(),
            status.clone(),
            endpoint.name.clone(),
            driver.dropped_messages(),
        );
        let replica = Self {
            inputs,
            status,
            server,
        };
        tokio::spawn(formation::run(replica.clone(), peers, endpoint));
        std::thread::Builder::new()
            .name("replicated-log".to_owned())
            .spawn(move || driver.run(&received))
            .map_err(|error| DiskError::thread(&settings.data_folder, error))?;
        Ok(replica)
    }

    /// Serves the calls of another replica on an accepted connection. Closes the connection when
    /// this replica stops, so that the other one reaches a replica that is opened in its place.
    pub(crate) fn serve_peer(&self, stream: TcpStream) {
        let transport = wrap(stream, Service::Peer);
        let calls = BaseChannel::with_defaults(transport).execute(self.server().serve());
        let mut status = self.status.clone();
        tokio::spawn(async move {
            let served = calls.for_each(|call| async {
                tokio::spawn(call);
            });
            let stopped = async move {
                // An error means that the thread has ended without publishing a status.
                let _ = status.wait_for(|status| status.stopped.is_some()).await;
            };
            tokio::select! {
                () = served => {}
                () = stopped => {}
            }
        });
    }

    /// Returns the service that other replicas call.
    pub fn server(&self) -> PeerServer {
        self.server.clone()
    }

    /// Returns the current status.
    pub fn status(&self) -> ReplicaStatus {
        let mut status = self.status.borrow().clone();
        // A thread that panicked did not publish a reason.
        if status.stopped.is_none() && self.status.has_changed().is_err() {
            status.stopped = Some("the thread of the log has ended; see the log lines".to_owned());
        }
        status
    }

    /// Returns a receiver that is notified of status changes.
    pub fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    fn send(&self, input: Input) -> Result<(), SubmitError> {
        self.inputs.try_send(input).map_err(|error| match error {
            TrySendError::Full(_) => SubmitError::Undecided,
            TrySendError::Disconnected(_) => SubmitError::Stopped,
        })
    }

    /// Appends a command to the log and returns the state machine's answer once this replica has
    /// committed and applied it.
    pub async fn submit(&self, command: Vec<u8>, limit: Duration) -> Result<Vec<u8>, SubmitError> {
        if command.len() > MAX_COMMAND_BYTES {
            return Err(SubmitError::TooLarge);
        }
        let (reply, answer) = oneshot::channel();
        self.send(Input::Propose { command, reply })?;
        match timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            // If the thread has ended, it may have sent the command to other replicas first.
            Ok(Err(_)) | Err(_) => Err(SubmitError::Undecided),
        }
    }

    /// Returns an index that this replica has applied and that was the commit index at some time
    /// after the call began. Followers ask the leader.
    pub async fn confirm(&self, limit: Duration) -> Result<u64, SubmitError> {
        let deadline = Instant::now() + limit;
        let mut status = self.status.clone();
        loop {
            // No read can be confirmed without a leader. After a power loss, hundreds of callers
            // wait for one; if each of them retried, they would delay the election.
            let known =
                status.wait_for(|status| status.leader.is_some() || status.stopped.is_some());
            match timeout_at(deadline, known).await {
                Ok(Ok(_)) => {}
                Ok(Err(_)) => return Err(SubmitError::Stopped),
                Err(_) => return Err(SubmitError::Undecided),
            }
            let (reply, answer) = oneshot::channel();
            self.send(Input::Read { reply })?;
            match timeout_at(deadline, answer).await {
                Ok(Ok(Some(index))) => return Ok(index),
                Ok(Ok(None)) => {}
                Ok(Err(_)) => return Err(SubmitError::Stopped),
                Err(_) => return Err(SubmitError::Undecided),
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                return Err(SubmitError::Undecided);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Starts transferring leadership to another voter. Returns false if this replica does not lead
    /// or is the only voter.
    pub async fn transfer_leadership(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(Input::TransferLeadership { reply }).is_ok() && answer.await.unwrap_or(false)
    }

    /// Gives up the leadership and the vote of this replica, which may then be stopped for good
    /// without a loss to the others. Returns `None` if that is not decided within `limit`.
    pub(crate) async fn leave(&self, limit: Duration) -> Option<LeaveResult> {
        let (reply, result) = oneshot::channel();
        self.send(Input::Leave { reply }).ok()?;
        timeout(limit, result).await.ok()?.ok()
    }

    /// Stops the replica and returns once its data folder is released.
    pub async fn stop(&self) {
        let mut status = self.status.clone();
        let mut input = Input::Stop;
        while let Err(TrySendError::Full(rejected)) = self.inputs.try_send(input) {
            input = rejected;
            sleep(RETRY_INTERVAL).await;
        }
        while status.changed().await.is_ok() {}
    }
}
