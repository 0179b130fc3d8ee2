//! One replica of the log: the core with a clock, a data folder and connections to its peers.

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

use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};

use crate::adapters::disk::{DiskError, FileOps};
use crate::domain::log::Options;
use crate::model::InstanceName;
use crate::settings::{ControlSettings, PeerAddress};
use driver::{Driver, Input};

pub(crate) use formation::{Caller, hello};
pub use server::PeerServer;
pub use status::{MemberStatus, ReplicaStatus};

/// The largest command: an edit of a table of 20,000 workspaces takes 1.8 MB. A frame between
/// replicas is at most 4 MiB and may hold an envelope of 1 MiB besides.
pub const MAX_COMMAND_BYTES: usize = 2 * 1024 * 1024;
/// Inputs that wait for the log's thread.
const QUEUED_INPUTS: usize = 16_384;
/// Time between attempts to confirm a read while there is no leader.
const CONFIRM_RETRY: Duration = Duration::from_millis(10);

type ApplyCommand = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;
type RestoreState = Box<dyn FnMut(&[u8]) + Send>;

/// What the log drives. All calls come from one thread, in the order of the log.
pub struct StateMachine {
    /// Applies the command at an index and returns its answer.
    pub apply: ApplyCommand,
    /// Returns the whole state.
    pub snapshot: Box<dyn FnMut() -> Vec<u8> + Send>,
    /// Replaces the whole state by one that `snapshot` returned.
    pub restore: RestoreState,
}

/// Why a command was not answered, or a read not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// Another replica leads, or none; the command is not in the log.
    NotLeader { leader: Option<SocketAddr> },
    /// The command may or may not take effect. A read was not confirmed in time.
    Undecided,
    /// The replica has stopped, by request or after a disk error.
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

/// A handle on a running replica.
#[derive(Clone)]
pub struct Replica {
    inputs: SyncSender<Input>,
    status: watch::Receiver<ReplicaStatus>,
    server: PeerServer,
}

/// The replicas that one is told of, for formation and joining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peers {
    pub known: Vec<PeerAddress>,
    /// True if the known peers may form a new cluster. False once there was one: a replica whose
    /// folder is lost has to join it.
    pub may_form: bool,
}

/// Who a replica is and where it is reached.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: InstanceName,
    pub rpc_address: SocketAddr,
}

impl Replica {
    /// Opens the data folder and starts the replica. Has to be called within a tokio runtime.
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
        // Nobody changes the peers of the settings, so the sender may go.
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
        let (inputs, received) = sync_channel(QUEUED_INPUTS);
        let driver = Driver::open(settings, &endpoint, machine, ops, options)?;
        let status = driver.watch();
        let server = PeerServer::new(inputs.clone(), status.clone(), endpoint.name.clone());
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

    /// Returns the service that other replicas call.
    pub fn server(&self) -> PeerServer {
        self.server.clone()
    }

    /// Returns the present status.
    pub fn status(&self) -> ReplicaStatus {
        let mut status = self.status.borrow().clone();
        // A thread that panicked has left no reason.
        if status.stopped.is_none() && self.status.has_changed().is_err() {
            status.stopped = Some("the thread of the log has ended; see the log lines".to_owned());
        }
        status
    }

    /// Returns a receiver of every change of the status.
    pub fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    fn send(&self, input: Input) -> Result<(), SubmitError> {
        self.inputs.try_send(input).map_err(|error| match error {
            TrySendError::Full(_) => SubmitError::Undecided,
            TrySendError::Disconnected(_) => SubmitError::Stopped,
        })
    }

    /// Puts a command into the log and returns the state machine's answer once it is committed and
    /// applied here.
    pub async fn submit(&self, command: Vec<u8>, limit: Duration) -> Result<Vec<u8>, SubmitError> {
        if command.len() > MAX_COMMAND_BYTES {
            return Err(SubmitError::TooLarge);
        }
        let (reply, answer) = oneshot::channel();
        self.send(Input::Propose { command, reply })?;
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            // The thread has ended; the command may have been sent to other replicas before.
            Ok(Err(_)) | Err(_) => Err(SubmitError::Undecided),
        }
    }

    /// Returns an index that this replica has applied and that was current at some time after the
    /// call began. Followers ask the leader.
    pub async fn confirm(&self, limit: Duration) -> Result<u64, SubmitError> {
        let deadline = Instant::now() + limit;
        let mut status = self.status.clone();
        loop {
            // Without a leader no read is confirmed. After a loss of power hundreds of callers wait for
            // one, and the election with them if each tries again and again.
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
            if Instant::now() + CONFIRM_RETRY >= deadline {
                return Err(SubmitError::Undecided);
            }
            sleep(CONFIRM_RETRY).await;
        }
    }

    /// Hands leadership to another voter. Returns false if this replica does not lead or is alone.
    pub async fn hand_over(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(Input::HandOver { reply }).is_ok() && answer.await.unwrap_or(false)
    }

    /// Stops the replica and returns once its data folder is released.
    pub async fn stop(&self) {
        let mut status = self.status.clone();
        let mut input = Input::Stop;
        while let Err(TrySendError::Full(back)) = self.inputs.try_send(input) {
            input = back;
            sleep(CONFIRM_RETRY).await;
        }
        while status.changed().await.is_ok() {}
    }
}
