//! Control instances over a log in memory and subscribers in one process, over real TCP.
#![allow(dead_code)] // Each test file uses a part of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lilacspindle::domain::members::{Member, Phase, Role};
use lilacspindle::domain::state::{Command, EditId, Response, RowChange};
use lilacspindle::domain::table::{Row, RowKey, WorkspaceRow};
use lilacspindle::model::{
    Fence, Incarnation, InstanceName, InstanceRef, TableVersion, WorkspaceName, ZoneName,
};
use lilacspindle::roles::control::{ControlRole, Machine, RelayService, memory_log};
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
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let subscriber = subscriber("control", 1, vec![address], max_watchers);
    let machine = Machine::new(Arc::clone(subscriber.store()));
    let log = memory_log(&machine);
    let role = ControlRole::new(log, machine, Arc::clone(&subscriber));
    let mut services = Services::default();
    role.offer(&mut services);
    let tasks = vec![
        tokio::spawn(Arc::clone(&role).confirm_view()),
        tokio::spawn(serve(listener, services)),
    ];
    Process {
        subscriber,
        address,
        control: Some(role),
        tasks,
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
