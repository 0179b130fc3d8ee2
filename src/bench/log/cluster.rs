//! A cluster of control replicas in one process, each with its own data folder and listener.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep};

use crate::adapters::disk::{DiskError, FileOps};
use crate::domain::log::{Options, RoleName};
use crate::model::InstanceName;
use crate::roles::control::replica::{Endpoint, PeerServer, Replica, StateMachine, SubmitError};
use crate::rpc::peer::Peer;
use crate::rpc::{Service, accept_service, decode, encode, wrap};
use crate::settings::{ControlSettings, PeerAddress};

/// The replicated state of a `CommandCounter`, which snapshots carry.
#[derive(Clone, Default, Serialize, Deserialize)]
struct CommandCounterState {
    count: u64,
    /// Empty unless `ClusterOptions::keep_commands` is set.
    kept: Vec<Vec<u8>>,
}

/// A state machine for benchmarks and tests: it counts commands, optionally keeps them in order,
/// and replies to a command with the number of commands before it.
#[derive(Clone, Default)]
pub struct CommandCounter(Arc<Mutex<CommandCounterState>>);

impl CommandCounter {
    fn lock(&self) -> MutexGuard<'_, CommandCounterState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the commands applied so far, or nothing if commands are not kept.
    pub fn commands(&self) -> Vec<Vec<u8>> {
        self.lock().kept.clone()
    }

    /// Returns the number of commands applied so far.
    pub fn count(&self) -> u64 {
        self.lock().count
    }

    fn state_machine(&self, keep_commands: bool) -> StateMachine {
        let (applied, saved, restored) = (self.clone(), self.clone(), self.clone());
        StateMachine {
            apply: Box::new(move |_, command| {
                let mut state = applied.lock();
                if keep_commands {
                    state.kept.push(command.to_vec());
                }
                state.count += 1;
                encode(&(state.count - 1)).unwrap_or_default()
            }),
            snapshot: Box::new(move || encode(&*saved.lock()).unwrap_or_default()),
            restore: Box::new(move |bytes| *restored.lock() = decode(bytes).unwrap_or_default()),
        }
    }
}

/// The settings that all replicas of a cluster share.
#[derive(Debug, Clone, Copy)]
pub struct ClusterOptions {
    pub replicas: usize,
    pub election_ms: u64,
    pub snapshot_entries: u64,
    /// True to keep every command in the state machines.
    pub keep_commands: bool,
}

/// A member of the cluster. Its listener stays bound while its replica is stopped, so that no other
/// process can take the port.
struct Instance {
    name: InstanceName,
    address: SocketAddr,
    folder: PathBuf,
    listener_state: Arc<Mutex<ListenerState>>,
    replica: Option<Replica>,
    command_counter: CommandCounter,
}

/// State shared between an instance and its listener.
#[derive(Default)]
struct ListenerState {
    /// Serves new connections; `None` while the replica is stopped.
    server: Option<PeerServer>,
    connections: Vec<AbortHandle>,
    /// When set, the connections accepted so far stay open, but their requests get no response.
    silenced: Arc<AtomicBool>,
}

/// A cluster of instances, numbered from 0.
pub struct Cluster {
    options: ClusterOptions,
    instances: Vec<Instance>,
    // Dropping the set aborts the listener tasks.
    _listeners: JoinSet<()>,
}

async fn accept(listener: TcpListener, listener_state: Arc<Mutex<ListenerState>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        if accept_service(&mut stream).await.is_err() {
            continue;
        }
        let mut listener_state = listener_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(peer) = listener_state.server.clone() else {
            continue;
        };
        let transport = wrap(stream, Service::Peer);
        let silenced = listener_state.silenced.clone();
        let requests = BaseChannel::with_defaults(transport).execute(peer.serve());
        let task = tokio::spawn(requests.for_each(move |response| {
            let is_silenced = silenced.load(Ordering::Relaxed);
            async move {
                if is_silenced {
                    std::future::pending::<()>().await;
                }
                response.await;
            }
        }));
        listener_state.connections.push(task.abort_handle());
    }
}

impl Cluster {
    /// Binds the listeners without starting the replicas.
    pub async fn bind(folder: &Path, options: ClusterOptions) -> io::Result<Self> {
        let mut listeners = JoinSet::new();
        let mut instances = Vec::new();
        for number in 0..options.replicas {
            let name = format!("control-{number}");
            let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
            let address = listener.local_addr()?;
            let listener_state = Arc::new(Mutex::new(ListenerState::default()));
            listeners.spawn(accept(listener, listener_state.clone()));
            instances.push(Instance {
                folder: folder.join(&name),
                name: InstanceName::from(name.as_str()),
                address,
                listener_state,
                replica: None,
                command_counter: CommandCounter::default(),
            });
        }
        Ok(Self {
            options,
            instances,
            _listeners: listeners,
        })
    }

    /// Binds the listeners and starts all replicas.
    pub async fn start(folder: &Path, options: ClusterOptions) -> io::Result<Self> {
        let mut cluster = Self::bind(folder, options).await?;
        for number in 0..options.replicas {
            cluster.open(number).map_err(io::Error::other)?;
        }
        Ok(cluster)
    }

    /// Starts the replica of an instance from its data folder, with an empty state machine.
    pub fn open(&mut self, number: usize) -> Result<(), DiskError> {
        self.open_with(number, FileOps::real())
    }

    /// Starts the replica of an instance with the given file operations, such as ones that inject
    /// faults.
    pub fn open_with(&mut self, number: usize, ops: FileOps) -> Result<(), DiskError> {
        let peers = self.instances.iter();
        let peers = peers.map(|i| PeerAddress {
            name: i.name.clone(),
            address: i.address,
        });
        let settings = ControlSettings {
            data_folder: self.instances[number].folder.clone(),
            peers: peers.collect(),
            election_ms: self.options.election_ms,
            snapshot_entries: self.options.snapshot_entries,
            platform_list: None,
        };
        let instance = &mut self.instances[number];
        instance.command_counter = CommandCounter::default();
        let endpoint = Endpoint {
            name: instance.name.clone(),
            rpc_address: instance.address,
        };
        let machine = instance
            .command_counter
            .state_machine(self.options.keep_commands);
        let replica = Replica::open_with(&settings, endpoint, machine, ops, Options::default())?;
        let mut listener_state = instance
            .listener_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        listener_state.server = Some(replica.server());
        drop(listener_state);
        instance.replica = Some(replica);
        Ok(())
    }

    /// Stops a replica without a transfer of leadership, and closes its connections.
    pub async fn kill(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        {
            let mut listener_state = instance
                .listener_state
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            listener_state.server = None;
            listener_state
                .connections
                .drain(..)
                .for_each(|task| task.abort());
        }
        if let Some(replica) = instance.replica.take() {
            replica.stop().await;
        }
    }

    /// Stops all responses on the connections that an instance has accepted so far, but keeps the
    /// connections open; new connections work.
    pub fn silence_connections(&self, number: usize) {
        let mut listener_state = self.instances[number]
            .listener_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        listener_state.silenced.store(true, Ordering::Relaxed);
        listener_state.silenced = Arc::default();
    }

    /// Deletes the data folder of a stopped replica.
    pub fn delete_data_folder(&self, number: usize) -> io::Result<()> {
        std::fs::remove_dir_all(&self.instances[number].folder)
    }

    /// Returns the replica of an instance, or `None` while it is stopped.
    pub fn replica(&self, number: usize) -> Option<&Replica> {
        self.instances[number].replica.as_ref()
    }

    pub fn folder(&self, number: usize) -> &Path {
        &self.instances[number].folder
    }

    /// Returns the state machine of an instance.
    pub fn command_counter(&self, number: usize) -> &CommandCounter {
        &self.instances[number].command_counter
    }

    /// Returns the number of the leader. If several replicas consider themselves leader, it is the
    /// one with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let statuses = self
            .instances
            .iter()
            .enumerate()
            .filter_map(|(number, instance)| {
                let status = instance.replica.as_ref()?.status();
                let leads = status.role == RoleName::Leader && status.stopped.is_none();
                leads.then_some((status.term, number))
            });
        statuses.max().map(|(_, number)| number)
    }

    /// Submits a command to the leader until it is answered; returns `None` after `limit`. A
    /// command whose result is unknown is submitted again, so it may be applied twice.
    pub async fn submit(&self, command: &[u8], limit: Duration) -> Option<u64> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(replica) = self.leader().and_then(|number| self.replica(number)) {
                let remaining = deadline - Instant::now();
                match replica.submit(command.to_vec(), remaining).await {
                    Ok(reply) => return decode(&reply).ok(),
                    Err(SubmitError::TooLarge) => return None,
                    Err(_) => {}
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        None
    }

    /// Waits until `condition` holds; returns false if it does not within `limit`.
    pub async fn wait(&self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let deadline = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(Duration::from_millis(10)).await;
        }
        true
    }

    /// Returns the voters in an instance's current configuration: the identities by name.
    pub fn voters(&self, number: usize) -> BTreeMap<InstanceName, Vec<u64>> {
        let mut voters: BTreeMap<InstanceName, Vec<u64>> = BTreeMap::new();
        let known = self.replica(number).map(|replica| replica.status().voters);
        for voter in known.unwrap_or_default() {
            voters.entry(voter.name).or_default().push(voter.identity.0);
        }
        voters
    }
}
