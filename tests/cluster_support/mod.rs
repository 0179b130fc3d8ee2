//! Control instances over a log in memory and subscribers in one process, over real TCP.
#![allow(dead_code)] // Each test file uses a part of it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lilacspindle::domain::members::{Member, Phase, Role};
use lilacspindle::domain::state::{Command, EditId, Response, RowChange};
use lilacspindle::domain::table::{Row, RowKey, WorkspaceRow};
use lilacspindle::model::{
    Fence, Incarnation, InstanceName, InstanceRef, TableVersion, WorkspaceName, ZoneName,
};
use lilacspindle::roles::control::{
    ControlRole, Leadership, LogError, LogPort, Machine, RelayService,
};
use lilacspindle::roles::subscriber::{Subscriber, SubscriberSettings, ViewStore, Watchers};
use lilacspindle::rpc::{Services, serve};
use lilacspindle::settings::StalePolicy;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub struct Process {
    pub subscriber: Arc<Subscriber>,
    pub address: SocketAddr,
    pub control: Option<Arc<ControlRole>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Process {
    /// Ends its tasks; connections that it accepted go silent only when the process ends.
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

pub fn instance(name: &str, incarnation: u64) -> InstanceRef {
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
        me: instance(name, incarnation),
        control_addresses: control,
        stale_policy: StalePolicy::Refuse,
        stale_limit_ms: 12_000,
    };
    let store = Arc::new(ViewStore::default());
    Subscriber::new(settings, store, Watchers::with_limit(max_watchers))
}

/// Starts a control instance over a log in memory.
pub async fn control(max_watchers: usize) -> Process {
    let mut controls = controls(1, max_watchers).await;
    controls.remove(0)
}

/// Starts control instances over one log in memory; the first one leads.
pub async fn controls(count: usize, max_watchers: usize) -> Vec<Process> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let leader = listeners[0].local_addr().unwrap();
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
        let address = listener.local_addr().unwrap();
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
    processes
}

fn shared_log(
    index: &Arc<Mutex<u64>>,
    machines: &[Arc<Machine>],
    leads: bool,
    leader: SocketAddr,
) -> LogPort {
    let (submit_index, confirm_index) = (Arc::clone(index), Arc::clone(index));
    let machines = machines.to_vec();
    LogPort {
        submit: Box::new(move |command, _| {
            if !leads {
                let leader = Some(leader);
                return Box::pin(async move { Err(LogError::NotLeader { leader }) });
            }
            let mut index = submit_index.lock().unwrap();
            *index += 1;
            let mut responses = machines.iter().map(|one| one.apply(*index, &command));
            let response = responses.next().unwrap();
            responses.for_each(drop);
            Box::pin(async move { Ok(response) })
        }),
        confirm: Box::new(move |_| {
            let index = *confirm_index.lock().unwrap();
            Box::pin(async move { Ok(index) })
        }),
        leadership: Box::new(move || Leadership {
            leads,
            term: 1,
            leader: Some(leader),
        }),
        hand_over: Box::new(|| Box::pin(async {})),
    }
}

/// Starts a process that subscribes and relays, and registers it.
pub async fn daemon(
    name: &str,
    incarnation: u64,
    roles: &[Role],
    control: &[SocketAddr],
    max_watchers: usize,
) -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let subscriber = subscriber(name, incarnation, control.to_vec(), max_watchers);
    let mut services = Services::default();
    RelayService::offer(Arc::clone(&subscriber), &mut services);
    let tasks = vec![
        tokio::spawn(serve(listener, services)),
        tokio::spawn(Arc::clone(&subscriber).run()),
    ];
    let command = Command::Register {
        member: Member {
            name: InstanceName::from(name),
            incarnation: Incarnation(incarnation),
            fence: Fence::default(),
            roles: roles.to_vec(),
            zone: ZoneName::from("z1"),
            rpc_address: address,
            phase: Phase::Live,
            upstreams: Vec::new(),
        },
        now_ms: 1,
    };
    let limit = Duration::from_secs(10);
    subscriber.submit(&command, limit).await.unwrap();
    Process {
        subscriber,
        address,
        control: None,
        tasks,
    }
}

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

/// Submits an edit through a process and returns the version at which it is in force.
pub async fn edit(through: &Process, id: &str, changes: Vec<RowChange>) -> TableVersion {
    let base = through.subscriber.store().version();
    let command = Command::Edit {
        id: EditId(id.to_owned()),
        author: "test".to_owned(),
        base,
        changes,
        now_ms: 1,
    };
    let limit = Duration::from_secs(10);
    match through.subscriber.submit(&command, limit).await.unwrap() {
        Response::Edit(Ok(version)) => version,
        answer => panic!("edit {id}: {answer:?}"),
    }
}

/// Waits until a process has applied a version.
pub async fn applied(process: &Process, version: TableVersion, limit: Duration) -> bool {
    let mut versions = process.subscriber.store().versions();
    let wait = versions.wait_for(|applied| *applied >= version);
    tokio::time::timeout(limit, wait).await.is_ok()
}
