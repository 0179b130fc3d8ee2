//! Replicas in one process, each with its own data folder and listener.

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

/// The state of a register.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Commands {
    count: u64,
    /// Empty unless commands are kept.
    kept: Vec<Vec<u8>>,
}

/// A state machine for measurements and tests: it counts commands, keeps them in order if asked,
/// and answers a command with the number of commands before it.
#[derive(Clone, Default)]
pub struct Register(Arc<Mutex<Commands>>);

impl Register {
    fn lock(&self) -> MutexGuard<'_, Commands> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the commands applied so far.
    pub fn commands(&self) -> Vec<Vec<u8>> {
        self.lock().kept.clone()
    }

    /// Returns the number of commands applied so far.
    pub fn count(&self) -> u64 {
        self.lock().count
    }

    fn machine(&self, keep: bool) -> StateMachine {
        let (applied, saved, restored) = (self.clone(), self.clone(), self.clone());
        StateMachine {
            apply: Box::new(move |_, command| {
                let mut state = applied.lock();
                if keep {
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

/// Times and sizes of the replicas.
#[derive(Debug, Clone, Copy)]
pub struct ClusterOptions {
    pub replicas: usize,
    pub election_ms: u64,
    pub snapshot_entries: u64,
    /// True to keep every command in the state machines.
    pub keep_commands: bool,
}

/// The listener of an instance outlives its replica, so that no port is bound twice.
struct Instance {
    name: InstanceName,
    address: SocketAddr,
    folder: PathBuf,
    served: Arc<Mutex<Served>>,
    replica: Option<Replica>,
    register: Register,
}

#[derive(Default)]
struct Served {
    server: Option<PeerServer>,
    connections: Vec<AbortHandle>,
    /// Set to silence the connections accepted so far: they stay open, and nothing is answered.
    silenced: Arc<AtomicBool>,
}

/// Several instances that form one cluster.
pub struct Cluster {
    options: ClusterOptions,
    instances: Vec<Instance>,
    // Aborts the listeners when the cluster is dropped.
    _listeners: JoinSet<()>,
}

async fn accept(listener: TcpListener, served: Arc<Mutex<Served>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        if accept_service(&mut stream).await.is_err() {
            continue;
        }
        let mut served = served.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(peer) = served.server.clone() else {
            continue;
        };
        let transport = wrap(stream, Service::Peer);
        let silenced = served.silenced.clone();
        let requests = BaseChannel::with_defaults(transport).execute(peer.serve());
        let task = tokio::spawn(requests.for_each(move |response| {
            let silent = silenced.load(Ordering::Relaxed);
            async move {
                if silent {
                    std::future::pending::<()>().await;
                }
                response.await;
            }
        }));
        served.connections.push(task.abort_handle());
    }
}

impl Cluster {
    /// Binds the listeners; starts nothing.
    pub async fn bind(folder: &Path, options: ClusterOptions) -> io::Result<Self> {
        let mut listeners = JoinSet::new();
        let mut instances = Vec::new();
        for number in 0..options.replicas {
            let name = format!("control-{number}");
            let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
            let address = listener.local_addr()?;
            let served = Arc::new(Mutex::new(Served::default()));
            listeners.spawn(accept(listener, served.clone()));
            instances.push(Instance {
                folder: folder.join(&name),
                name: InstanceName::from(name.as_str()),
                address,
                served,
                replica: None,
                register: Register::default(),
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

    /// Starts the replica of an instance, with an empty state machine.
    pub fn open(&mut self, number: usize) -> Result<(), DiskError> {
        self.open_with(number, FileOps::real())
    }

    /// Starts the replica of an instance with other file operations.
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
        instance.register = Register::default();
        let endpoint = Endpoint {
            name: instance.name.clone(),
            rpc_address: instance.address,
        };
        let machine = instance.register.machine(self.options.keep_commands);
        let replica = Replica::open_with(&settings, endpoint, machine, ops, Options::default())?;
        let mut served = instance
            .served
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        served.server = Some(replica.server());
        drop(served);
        instance.replica = Some(replica);
        Ok(())
    }

    /// Stops a replica without handing over, and closes its connections.
    pub async fn kill(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        {
            let mut served = instance
                .served
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            served.server = None;
            served.connections.drain(..).for_each(|task| task.abort());
        }
        if let Some(replica) = instance.replica.take() {
            replica.stop().await;
        }
    }

    /// Makes the connections that an instance has accepted go silent for good; new ones work.
    pub fn silence(&self, number: usize) {
        let mut served = self.instances[number]
            .served
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        served.silenced.store(true, Ordering::Relaxed);
        served.silenced = Arc::default();
    }

    /// Deletes the data folder of a stopped replica.
    pub fn lose_disk(&self, number: usize) -> io::Result<()> {
        std::fs::remove_dir_all(&self.instances[number].folder)
    }

    /// Returns the replica of an instance, if it runs.
    pub fn replica(&self, number: usize) -> Option<&Replica> {
        self.instances[number].replica.as_ref()
    }

    /// Returns the data folder of an instance.
    pub fn folder(&self, number: usize) -> &Path {
        &self.instances[number].folder
    }

    /// Returns the state machine of an instance.
    pub fn register(&self, number: usize) -> &Register {
        &self.instances[number].register
    }

    /// Returns the instance that leads, of several that believe so the one with the highest term.
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

    /// Submits a command to the leader until it is answered; returns none after `limit`. A command
    /// that stayed undecided is submitted again, so it may be applied twice.
    pub async fn submit(&self, command: &[u8], limit: Duration) -> Option<u64> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(replica) = self.leader().and_then(|number| self.replica(number)) {
                let left = deadline - Instant::now();
                match replica.submit(command.to_vec(), left).await {
                    Ok(answer) => return decode(&answer).ok(),
                    Err(SubmitError::TooLarge) => return None,
                    Err(_) => {}
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        None
    }

    /// Waits until `holds` is true; returns false after `limit`.
    pub async fn wait(&self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let deadline = Instant::now() + limit;
        while !holds(self) {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(Duration::from_millis(10)).await;
        }
        true
    }

    /// Returns the names of the voters that an instance knows, with their identities.
    pub fn voters(&self, number: usize) -> BTreeMap<InstanceName, Vec<u64>> {
        let mut voters: BTreeMap<InstanceName, Vec<u64>> = BTreeMap::new();
        let known = self.replica(number).map(|replica| replica.status().voters);
        for voter in known.unwrap_or_default() {
            voters.entry(voter.name).or_default().push(voter.identity.0);
        }
        voters
    }
}
