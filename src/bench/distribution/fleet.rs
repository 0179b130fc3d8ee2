//! Control instances with an in-memory log and daemons, all in one process and connected over
//! loopback TCP, for benchmarks and tests.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::domain::members::{Member, Phase, Role, UpstreamInfo};
use crate::domain::state::{Command, EditId, Response, RowChange};
use crate::domain::table::{Row, RowKey, WorkspaceRow};
use crate::model::{
    Fence, Incarnation, InstanceName, InstanceRef, TableVersion, WorkspaceName, ZoneName,
};
use crate::roles::control::{ControlRole, Leadership, LogError, LogPort, Machine, RelayService};
use crate::roles::subscriber::{
    MAX_WATCHERS, SubmitError, Subscriber, SubscriberSettings, ViewStore, Watchers,
};
use crate::rpc::{Services, serve};
use crate::settings::StalePolicy;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time limit of one registration or edit.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// A listener could not be opened, a command was refused, or a process did not reply or apply a
/// version in time.
#[derive(Debug)]
pub struct FleetError(pub String);

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FleetError {}

impl From<io::Error> for FleetError {
    fn from(error: io::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<SubmitError> for FleetError {
    fn from(error: SubmitError) -> Self {
        Self(error.to_string())
    }
}

/// A process of the fleet, control instance or daemon, with its listener and tasks. Dropping it
/// stops it.
pub struct Process {
    pub subscriber: Arc<Subscriber>,
    pub address: SocketAddr,
    /// Only set for control instances.
    pub control: Option<Arc<ControlRole>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Process {
    /// Aborts the tasks; connections that the process has accepted stay open.
    pub fn stop(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.stop();
    }
}

pub fn instance_ref(name: &str, incarnation: u64) -> InstanceRef {
    InstanceRef {
        name: InstanceName::from(name),
        incarnation: Incarnation(incarnation),
    }
}

fn subscriber(
    name: &str,
    incarnation: u64,
    control: Vec<SocketAddr>,
    max_watchers: usize,
) -> Arc<Subscriber> {
    let settings = SubscriberSettings {
        me: instance_ref(name, incarnation),
        control_addresses: control,
        stale_policy: StalePolicy::Refuse,
        stale_limit_ms: 12_000,
    };
    let store = Arc::new(ViewStore::default());
    Subscriber::new(settings, store, Watchers::with_limit(max_watchers))
}

/// Starts one control instance with an in-memory log.
pub async fn start_control(max_watchers: usize) -> Result<Process, FleetError> {
    Ok(start_controls(1, max_watchers).await?.remove(0))
}

/// Starts control instances that share one in-memory log; the first one leads.
pub async fn start_controls(count: usize, max_watchers: usize) -> Result<Vec<Process>, FleetError> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    let leader = listeners[0].local_addr()?;
    let subscribers: Vec<_> = (0..count)
        .map(|number| subscriber(&format!("control-{number}"), 1, vec![leader], max_watchers))
        .collect();
    let machines: Vec<_> = subscribers
        .iter()
        .map(|subscriber| Machine::new(Arc::clone(subscriber.store())))
        .collect();
    let index = Arc::new(Mutex::new(0));
    let mut processes = Vec::new();
    for (number, (listener, subscriber)) in listeners.into_iter().zip(subscribers).enumerate() {
        let log = shared_log(&index, &machines, number == 0, leader);
        let machine = Arc::clone(&machines[number]);
        let address = listener.local_addr()?;
        let role = ControlRole::new(log, machine, Arc::clone(&subscriber));
        let mut services = Services::default();
        role.offer(&mut services);
        let tasks = vec![
            tokio::spawn(Arc::clone(&role).confirm_view()),
            tokio::spawn(Arc::clone(&role).report_subtree()),
            tokio::spawn(serve(listener, services)),
        ];
        processes.push(Process {
            subscriber,
            address,
            control: Some(role),
            tasks,
        });
    }
    for process in &processes {
        let name = process.subscriber.me().name.as_str();
        let command = DaemonSpec::new(name, 1, Role::Control).registration(process.address);
        let leader = &processes[0].subscriber;
        leader.submit(&command, COMMAND_TIMEOUT).await?;
    }
    Ok(processes)
}

/// Returns one control instance's port to the shared log. A command that the leader accepts is
/// applied to the state machines of all instances at once.
fn shared_log(
    index: &Arc<Mutex<u64>>,
    machines: &[Arc<Machine>],
    leads: bool,
    leader: SocketAddr,
) -> LogPort {
    let (last_index, confirmed_index) = (Arc::clone(index), Arc::clone(index));
    let machines = machines.to_vec();
    LogPort {
        submit: Box::new(move |command, _| {
            if !leads {
                let leader = Some(leader);
                return Box::pin(async move { Err(LogError::NotLeader { leader }) });
            }
            let mut index = last_index.lock().unwrap_or_else(PoisonError::into_inner);
            *index += 1;
            let apply = |machine: &Arc<Machine>| machine.apply(*index, &command);
            let responses: Vec<_> = machines.iter().map(apply).collect();
            let response = responses.into_iter().next().ok_or(LogError::Stopped);
            Box::pin(async move { response })
        }),
        confirm: Box::new(move |_| {
            let index = *confirmed_index
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            Box::pin(async move { Ok(index) })
        }),
        leadership: Box::new(move || Leadership {
            leads,
            term: 1,
            term_first_index: Some(0),
            leader: Some(leader),
        }),
        transfer_leadership: Box::new(|| Box::pin(async {})),
    }
}

/// The identity, role and upstreams that a daemon registers with, and its limit of watchers.
#[derive(Debug, Clone)]
pub struct DaemonSpec {
    pub name: String,
    pub incarnation: u64,
    pub role: Role,
    pub upstreams: Vec<UpstreamInfo>,
    pub max_watchers: usize,
}

impl DaemonSpec {
    /// Returns the spec of a daemon without upstreams and with the default limit of watchers.
    pub fn new(name: &str, incarnation: u64, role: Role) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
            role,
            upstreams: Vec::new(),
            max_watchers: MAX_WATCHERS,
        }
    }

    /// Returns the command that registers the daemon.
    pub fn registration(&self, rpc_address: SocketAddr) -> Command {
        Command::Register {
            member: Member {
                name: InstanceName::from(self.name.as_str()),
                incarnation: Incarnation(self.incarnation),
                fence: Fence::default(),
                roles: vec![self.role],
                zone: ZoneName::from("z1"),
                rpc_address,
                phase: Phase::Live,
                upstreams: self.upstreams.clone(),
            },
            now_ms: 1,
        }
    }
}

/// Starts and registers a daemon that subscribes to the view and relays it.
pub async fn start_daemon(
    spec: &DaemonSpec,
    control: &[SocketAddr],
) -> Result<Process, FleetError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let control = control.to_vec();
    let subscriber = subscriber(&spec.name, spec.incarnation, control, spec.max_watchers);
    let mut services = Services::default();
    RelayService::offer(Arc::clone(&subscriber), &mut services);
    let process = Process {
        tasks: vec![
            tokio::spawn(serve(listener, services)),
            tokio::spawn(Arc::clone(&subscriber).run()),
        ],
        subscriber,
        address,
        control: None,
    };
    let command = spec.registration(address);
    process.subscriber.submit(&command, COMMAND_TIMEOUT).await?;
    Ok(process)
}

/// Returns a change that sets the row of a workspace, for use in an edit.
pub fn workspace_change(name: &str, room_slots: Option<u32>, weight: u32) -> RowChange {
    let row = WorkspaceRow {
        weight,
        room_slots,
        api_key_sha256: None,
        max_tokens: 4_096,
    };
    RowChange {
        key: RowKey::Workspace(WorkspaceName::from(name)),
        row: Some(Row::Workspace(row)),
    }
}

/// Submits an edit through a process and returns the table version that includes it.
pub async fn edit(
    through: &Process,
    id: &str,
    changes: Vec<RowChange>,
) -> Result<TableVersion, FleetError> {
    let command = Command::Edit {
        id: EditId(id.to_owned()),
        author: "fleet".to_owned(),
        base: through.subscriber.store().version(),
        changes,
        now_ms: 1,
    };
    match through.subscriber.submit(&command, COMMAND_TIMEOUT).await? {
        Response::Edit(Ok(version)) => Ok(version),
        response => Err(FleetError(format!("edit {id} was refused: {response:?}"))),
    }
}

/// Waits until a process has applied a version; returns false if it has not within `limit`.
pub async fn wait_for_version(process: &Process, version: TableVersion, limit: Duration) -> bool {
    let mut versions = process.subscriber.store().versions();
    let wait = versions.wait_for(|applied| *applied >= version);
    timeout(limit, wait).await.is_ok()
}
