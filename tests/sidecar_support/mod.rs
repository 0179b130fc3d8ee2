//! A sidecar over real TCP in front of a fake engine.
#![allow(dead_code)]

pub mod engine;

use std::sync::Arc;
use std::time::Duration;

use lilacspindle::adapters::clock::monotonic_ms;
use lilacspindle::domain::members::{Member, Phase, Role};
use lilacspindle::domain::state::View;
use lilacspindle::model::{
    Fence, GenerationId, Incarnation, InstanceName, InstanceRef, RequestId, TableVersion,
};
use lilacspindle::roles::sidecar::SidecarRole;
use lilacspindle::roles::subscriber::{Subscriber, SubscriberSettings, ViewStore, Watchers};
use lilacspindle::rpc::sidecar::*;
use lilacspindle::rpc::{Link, Services, Stamp, serve, sidecar_link};
use lilacspindle::settings::{Settings, StalePolicy};
use tokio::net::TcpListener;

use engine::{FakeEngine, fake_engine};

pub const LIMIT: Duration = Duration::from_secs(20);

pub struct TestSidecar {
    pub engine: FakeEngine,
    pub role: Arc<SidecarRole>,
    pub subscriber: Arc<Subscriber>,
    pub link: Arc<Link<SidecarClient>>,
}

/// Starts a sidecar with a new fake engine. `settings` is added to the `[sidecar]` section.
pub async fn start_sidecar(settings: &str) -> TestSidecar {
    let engine = fake_engine().await;
    start_sidecar_with_engine(engine, settings, 1).await
}

/// Starts a sidecar with the given incarnation in front of an engine that may already have
/// generations.
pub async fn start_sidecar_with_engine(
    engine: FakeEngine,
    settings: &str,
    incarnation: u64,
) -> TestSidecar {
    let me = InstanceRef {
        name: InstanceName::from("sidecar-1"),
        incarnation: Incarnation(incarnation),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let store = Arc::new(ViewStore::default());
    let subscriber = Subscriber::new(
        SubscriberSettings {
            me: me.clone(),
            control_addresses: Vec::new(),
            stale_policy: StalePolicy::Serve,
            stale_limit_ms: 12_000,
        },
        Arc::clone(&store),
        Watchers::default(),
    );
    let mut view = View {
        version: TableVersion(1),
        ..View::default()
    };
    let member = Member {
        name: me.name.clone(),
        incarnation: me.incarnation,
        fence: Fence(7),
        roles: vec![Role::Sidecar],
        zone: "z".into(),
        rpc_address: address,
        phase: Phase::Live,
        upstreams: Vec::new(),
    };
    view.members.members.insert(me.name.clone(), member);
    store.replace(view);
    store.confirm(monotonic_ms() + 1);
    let service = engine.server.address;
    let text = format!(
        "[instance]\nname = sidecar-1\nzone = z\nrpc_address = {address}\n\
         admin_address = 127.0.0.1:0\ncontrol_addresses = 127.0.0.1:1\n\
         [sidecar]\n{settings}\n\
         [upstream e1]\nmodel = tutor\nurl = http://{engine}\nmax_running = 8\n\
         capacity_tokens = 10000\n\
         [upstream s1]\nservice = cards\nurl = http://{service}\n\
         [upstream gone]\nservice = gone\nurl = http://127.0.0.1:1\n",
        engine = engine.server.address
    );
    let settings = Settings::parse("test", &text).unwrap();
    let role = SidecarRole::start(&settings.sidecar.unwrap(), Arc::clone(&subscriber));
    let mut services = Services::default();
    role.offer(&mut services);
    tokio::spawn(serve(listener, services));
    TestSidecar {
        engine,
        role,
        subscriber,
        link: sidecar_link(address),
    }
}

pub fn stamp() -> Stamp {
    Stamp {
        sender: InstanceRef {
            name: InstanceName::from("entry-1"),
            incarnation: Incarnation(9),
        },
        table_version: TableVersion(1),
        leaving: false,
    }
}

/// Returns a start request with `script` as the script of the fake engine.
pub fn start_request(generation: u128, script: &str) -> StartRequest {
    StartRequest {
        stamp: stamp(),
        incarnation: Incarnation(1),
        request: RequestId(generation),
        generation: GenerationId(generation),
        workspace: "w".into(),
        kind: "essay".into(),
        lane: Lane::Long,
        model: "tutor".into(),
        version: "v1".to_owned(),
        upstream: "e1".into(),
        api: Api::Completions,
        body: script.to_owned(),
        prompt_tokens: 10,
        max_tokens: 1_000,
        priority: 5,
        remaining_ms: 60_000,
        served_elsewhere_tokens: 0,
        shown: true,
    }
}

/// What a reader received of a generation, from its first offset on.
#[derive(Debug, Default, PartialEq)]
pub struct Read {
    pub text: String,
    /// The next offset to read.
    pub tokens: u32,
    pub end: Option<End>,
}

impl TestSidecar {
    pub async fn start(&self, request: StartRequest) -> StartReply {
        let call =
            |client: SidecarClient, context| async move { client.start(context, request).await };
        self.link.call(LIMIT, call).await.unwrap()
    }

    pub async fn poll(&self, generation: u128, from_offset: u32, hold_ms: u64) -> PollReply {
        self.poll_as(generation, from_offset, hold_ms, "w").await
    }

    pub async fn poll_as(
        &self,
        generation: u128,
        from_offset: u32,
        hold_ms: u64,
        workspace: &str,
    ) -> PollReply {
        let request = PollRequest {
            stamp: stamp(),
            incarnation: self.subscriber.me().incarnation,
            cursors: vec![Cursor {
                generation: GenerationId(generation),
                workspace: workspace.into(),
                from_offset,
            }],
            hold_ms,
        };
        let call =
            |client: SidecarClient, context| async move { client.poll(context, request).await };
        self.link.call(LIMIT, call).await.unwrap()
    }

    pub async fn call(&self, generation: u128, upstream: &str, path: &str) -> CallReply {
        let request = CallRequest {
            stamp: stamp(),
            incarnation: Incarnation(1),
            request: RequestId(generation),
            generation: GenerationId(generation),
            workspace: "w".into(),
            service: "cards".into(),
            upstream: upstream.into(),
            method: "POST".to_owned(),
            path_and_query: path.to_owned(),
            headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
            body: b"body".to_vec(),
            remaining_ms: 1_000,
            repeatable: false,
        };
        let call =
            |client: SidecarClient, context| async move { client.call(context, request).await };
        self.link.call(LIMIT, call).await.unwrap()
    }

    pub async fn readopt(&self, start: StartRequest, origin: Origin, from: u32) -> ReadoptReply {
        let request = ReadoptRequest {
            stamp: stamp(),
            incarnation: self.subscriber.me().incarnation,
            origin,
            start,
            from_offset: from,
        };
        let call =
            |client: SidecarClient, context| async move { client.readopt(context, request).await };
        self.link.call(LIMIT, call).await.unwrap()
    }

    pub async fn cancel(&self, generation: u128) -> CancelReply {
        let request = CancelRequest {
            stamp: stamp(),
            incarnation: Incarnation(1),
            generation: GenerationId(generation),
            unread_ms: None,
        };
        let call =
            |client: SidecarClient, context| async move { client.cancel(context, request).await };
        self.link.call(LIMIT, call).await.unwrap()
    }

    /// Reads from an offset to the end. Panics on a gap or an unknown generation.
    pub async fn read(&self, generation: u128, from_offset: u32) -> Read {
        let mut read = Read {
            tokens: from_offset,
            ..Read::default()
        };
        let deadline = std::time::Instant::now() + LIMIT;
        while read.end.is_none() {
            assert!(
                std::time::Instant::now() < deadline,
                "generation did not end within {LIMIT:?}: {read:?}"
            );
            let reply = self.poll(generation, read.tokens, 1_000).await;
            for update in reply.updates {
                assert!(!update.unknown, "generation {generation:x} is unknown");
                if let Some(chunk) = update.chunk {
                    assert_eq!(chunk.offset, read.tokens);
                    read.tokens += u32::try_from(chunk.tokens.len()).unwrap();
                    read.text.push_str(&chunk.tokens.concat());
                }
                read.end = update.end.map(|(total, end)| {
                    assert_eq!(total, read.tokens);
                    end
                });
            }
        }
        read
    }
}

/// Returns the text of the fake engine's tokens from offset `from` up to, but without, `to`.
pub fn text(from: u32, to: u32) -> String {
    let tokens: Vec<_> = (from..to).map(|offset| format!("t{offset} ")).collect();
    tokens.concat()
}

/// Waits until a condition holds. Panics after `LIMIT`, which no healthy run reaches.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + LIMIT;
    while !holds() {
        assert!(
            std::time::Instant::now() < deadline,
            "condition not reached within {LIMIT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
