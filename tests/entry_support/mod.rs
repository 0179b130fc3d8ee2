//! Test support for the entry: a fake sidecar and a fake control instance, each served over TCP.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

mod callers;
mod fake_sidecar;
mod running_sidecar;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lilacspindle::adapters::clock::monotonic_ms;
use lilacspindle::call_handler;
use lilacspindle::domain::state::{Command, Response, State, View};
use lilacspindle::domain::table::{
    KindRow, ModelRow, Row, RowKey, ServiceRow, Target, WorkspaceRow,
};
use lilacspindle::model::*;
use lilacspindle::roles::entry::EntryRole;
use lilacspindle::roles::subscriber::{Subscriber, SubscriberSettings, ViewStore, Watchers};
use lilacspindle::rpc::control::*;
use lilacspindle::rpc::sidecar::*;
use lilacspindle::rpc::{Service, Services, serve};
use lilacspindle::settings::{EntrySettings, StalePolicy};
use tarpc::context::Context;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

pub use callers::*;
pub use fake_sidecar::*;
pub use running_sidecar::*;

/// A control instance that applies commands to the real state machine, without a replicated log.
#[derive(Clone, Default)]
pub struct FakeControl {
    pub state: Arc<Mutex<(u64, State)>>,
    /// If true, every command fails as undecided.
    pub undecided: Arc<Mutex<bool>>,
}

impl Control for FakeControl {
    async fn ping(self, _: Context) {}

    async fn submit(self, _: Context, request: SubmitRequest) -> Result<Response, ControlError> {
        if *self.undecided.lock().unwrap() {
            return Err(ControlError::Undecided);
        }
        Ok(self.apply(&request.command))
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        WatchReply::Unconfirmed {
            stamp: request.stamp,
        }
    }

    async fn room(self, _: Context, _: RoomRequest) -> Result<RoomReply, ControlError> {
        Err(ControlError::Stopped)
    }

    async fn permit(self, _: Context, _: PermitRequest) -> Result<PermitReply, ControlError> {
        Err(ControlError::Stopped)
    }
}

impl FakeControl {
    pub fn apply(&self, command: &Command) -> Response {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let index = state.0;
        state.1.apply(index, command).0
    }

    /// Serves this instance on a free port; returns its address.
    pub async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut services = Services::default();
        services.offer(
            Service::Control,
            call_handler!(Service::Control, self.clone()),
        );
        tokio::spawn(serve(listener, services));
        address
    }
}

pub fn kind_row(lane: Lane, repeatable: bool, target: Target) -> Row {
    Row::Kind(KindRow {
        lane,
        repeatable,
        room_slots: None,
        deadline_ms: 20_000,
        target,
    })
}

/// Returns a view with two workspaces, one model, one service, three kinds and the given sidecars.
pub fn view(fakes: &[&RunningSidecar]) -> View {
    let mut view = View {
        version: TableVersion(1),
        ..View::default()
    };
    let mut add = |key, row| view.table.rows.insert(key, (TableVersion(1), row));
    for name in ["a", "b"] {
        let row = WorkspaceRow {
            weight: 1,
            room_slots: None,
            api_key_sha256: None,
            max_tokens: 512,
        };
        add(RowKey::Workspace(name.into()), Row::Workspace(row));
    }
    let model = || Target::Model("tutor".into());
    let service = || Target::Service("cards".into());
    let model_row = ModelRow {
        version: "v1".to_owned(),
        prepare_version: None,
        adapter: None,
    };
    add(RowKey::Model("tutor".into()), Row::Model(model_row));
    let service_row = ServiceRow {
        repeatable: true,
        deadline_ms: 5_000,
    };
    add(RowKey::Service("cards".into()), Row::Service(service_row));
    add(
        RowKey::Kind(None, "essay".into()),
        kind_row(Lane::Long, true, model()),
    );
    add(
        RowKey::Kind(None, "once".into()),
        kind_row(Lane::Long, false, model()),
    );
    add(
        RowKey::Kind(None, "scan".into()),
        kind_row(Lane::Small, false, service()),
    );
    for fake in fakes {
        view.members
            .members
            .insert(fake.fake.me.name.clone(), fake.member());
    }
    view
}

/// A running entry with its own view of the table and the members.
pub struct RunningEntry {
    pub role: Arc<EntryRole>,
    pub subscriber: Arc<Subscriber>,
    pub store: Arc<ViewStore>,
    pub url: String,
}

pub async fn start_entry(name: &str, view: View, control: SocketAddr) -> RunningEntry {
    let store = Arc::new(ViewStore::default());
    let settings = SubscriberSettings {
        me: InstanceRef {
            name: name.into(),
            incarnation: Incarnation(7),
        },
        control_addresses: vec![control],
        stale_policy: StalePolicy::Refuse,
        stale_limit_ms: 12_000,
    };
    let subscriber = Subscriber::new(settings, Arc::clone(&store), Watchers::default());
    store.replace(view);
    store.confirm(monotonic_ms());
    let confirmed = Arc::clone(&store);
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            confirmed.confirm(monotonic_ms());
        }
    });
    let settings = EntrySettings {
        http_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        body_limit_bytes: 10_000,
        reconnect_grace_ms: 500,
        default_deadline_ms: 20_000,
    };
    let role = EntryRole::start(&settings, Arc::clone(&subscriber))
        .await
        .unwrap();
    let url = format!("http://{}", role.address());
    RunningEntry {
        role,
        subscriber,
        store,
        url,
    }
}

/// Returns a running sidecar, and an entry that uses it.
pub async fn start_entry_and_sidecar(behavior: Behavior) -> (RunningSidecar, RunningEntry) {
    let sidecar = RunningSidecar::start(FakeSidecar::new("s1", 1, behavior));
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&[&sidecar]), control).await;
    (sidecar, entry)
}

/// A TCP proxy to a target that may change. Connections that are open when it is muted stay open
/// but deliver nothing more; new ones work.
pub struct Proxy {
    pub address: SocketAddr,
    pub target: Arc<Mutex<SocketAddr>>,
    mutes: tokio::sync::watch::Sender<u64>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mutes = tokio::sync::watch::Sender::new(0);
        let subscribed = mutes.clone();
        let target = Arc::new(Mutex::new(target));
        let current = Arc::clone(&target);
        tokio::spawn(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let mut mutes = subscribed.subscribe();
                let target = *current.lock().unwrap();
                tokio::spawn(async move {
                    let Ok(mut server) = TcpStream::connect(target).await else {
                        return;
                    };
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
                        _ = mutes.changed() => sleep(Duration::from_mins(1)).await,
                    }
                });
            }
        });
        Self {
            address,
            target,
            mutes,
        }
    }

    pub fn mute(&self) {
        self.mutes.send_modify(|mutes| *mutes += 1);
    }
}
