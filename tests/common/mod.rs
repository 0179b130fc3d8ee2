//! Daemon processes for tests, on a loopback address and in a temporary folder of their own per
//! test.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

mod caller;
mod rows;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use lilacspindle::domain::state::{Command as LogCommand, EditAnswer, EditId, Response, RowChange};
use lilacspindle::model::{Incarnation, InstanceName, InstanceRef, TableVersion};
use lilacspindle::proxy::Proxy;
use lilacspindle::roles::subscriber::ControlCalls;
use lilacspindle::rpc::Stamp;
use tokio::net::TcpSocket;

// Not every test binary uses all re-exports.
#[allow(unused_imports)]
pub use caller::{Streamed, client, completion, read_stream};
#[allow(unused_imports)]
pub use rows::{rows, workspace_row};

/// Time-out for a started fleet to become ready. Allows for debug builds on a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(30);
static NEXT_NETWORK: AtomicU16 = AtomicU16::new(0);

/// A daemon process of a test.
pub struct Daemon {
    child: Child,
    pub settings: PathBuf,
    pub rpc: SocketAddr,
    pub admin: SocketAddr,
    /// The HTTP address of an entry, or of the engine of a stand-in.
    pub http: Option<SocketAddr>,
    /// The HTTP address of the service of a stand-in.
    pub service: Option<SocketAddr>,
}

/// All daemons of a test. They are killed when the test ends.
pub struct Fleet {
    pub folder: PathBuf,
    pub daemons: BTreeMap<String, Daemon>,
    pub control: Vec<SocketAddr>,
    pub peers: Vec<(String, SocketAddr)>,
    /// The version at which the first rows are in force.
    pub rows_version: TableVersion,
    ip: Ipv4Addr,
    next_port: AtomicU16,
    extra_instance_lines: String,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in self.daemons.values_mut() {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        if std::env::var_os("LILAC_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Returns an empty fleet on a loopback address that no other test uses.
    pub fn new() -> Self {
        let network = NEXT_NETWORK.fetch_add(1, Ordering::SeqCst);
        let pid = std::process::id();
        let [_, _, high, low] = pid.to_be_bytes();
        let last = u8::try_from(network % 250 + 2).unwrap();
        let folder = std::env::temp_dir().join(format!("lilacspindle-{pid}-{network}"));
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            folder,
            daemons: BTreeMap::new(),
            control: Vec::new(),
            peers: Vec::new(),
            rows_version: TableVersion(0),
            ip: Ipv4Addr::new(127, high | 64, low, last),
            // Below the ports that the system gives to outgoing connections.
            next_port: AtomicU16::new(20_000),
            extra_instance_lines: String::new(),
        }
    }

    /// Sets extra lines for the `[instance]` section of daemons that are started
    /// from now on.
    pub fn instance_lines(&mut self, lines: &str) {
        lines.clone_into(&mut self.extra_instance_lines);
    }

    /// Returns a free address on the loopback IP of this test.
    pub fn free_address(&self) -> SocketAddr {
        loop {
            let port = self.next_port.fetch_add(1, Ordering::SeqCst);
            let address = SocketAddr::new(IpAddr::V4(self.ip), port);
            if is_free(address) {
                return address;
            }
        }
    }

    /// Starts `count` control instances and waits until all of them are ready.
    pub async fn start_control(&mut self, count: usize) {
        let names: Vec<String> = (1..=count)
            .map(|number| format!("control-{number}"))
            .collect();
        self.peers = names
            .iter()
            .map(|name| (name.clone(), self.free_address()))
            .collect();
        self.control = self.peers.iter().map(|(_, address)| *address).collect();
        for name in &names {
            self.start_control_instance(name);
        }
        for name in &names {
            self.wait_ready(name).await;
        }
    }

    /// Starts `count` control instances that are reached only through proxies, and waits until all
    /// of them are ready. Returns the proxies by instance name.
    pub async fn start_proxied_control(&mut self, count: usize) -> BTreeMap<String, Proxy> {
        let mut proxies = BTreeMap::new();
        let mut own = Vec::new();
        for number in 1..=count {
            let name = format!("control-{number}");
            let rpc = self.free_address();
            let proxy = Proxy::start(rpc).await.unwrap();
            self.peers.push((name.clone(), proxy.address()));
            own.push((name.clone(), rpc));
            proxies.insert(name, proxy);
        }
        self.control = self.peers.iter().map(|(_, address)| *address).collect();
        for (name, rpc) in &own {
            self.instance_lines(&format!(
                "advertised_rpc_address = {}",
                proxies[name].address()
            ));
            self.start_control_at(name, *rpc);
        }
        self.instance_lines("");
        for (name, _) in &own {
            self.wait_ready(name).await;
        }
        proxies
    }

    /// Starts one of the control instances, for the first time or after it has ended.
    pub fn start_control_instance(&mut self, name: &str) {
        let rpc = self.peers.iter().find(|(peer, _)| peer == name).unwrap().1;
        self.start_control_at(name, rpc);
    }

    fn start_control_at(&mut self, name: &str, rpc: SocketAddr) {
        let peers: Vec<String> = self
            .peers
            .iter()
            .map(|(name, address)| format!("{name}@{address}"))
            .collect();
        let roles = format!(
            "[control]\ndata_folder = {}\npeers = {}\n",
            self.data_folder(name).display(),
            peers.join(",")
        );
        self.start(name, Some(rpc), &roles, None, None);
    }

    /// Returns the data folder of a control instance.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Starts an entry and returns its HTTP address.
    pub fn start_entry(&mut self, name: &str) -> SocketAddr {
        let http = self.free_address();
        let roles = format!("[entry]\nhttp_address = {http}\n");
        self.start(name, None, &roles, Some(http), None);
        http
    }

    /// Starts a process with a stand-in engine and a stand-in service, and returns their addresses.
    /// `lines` are added to its `[standin]` section.
    pub fn start_standin(&mut self, name: &str, lines: &str) -> (SocketAddr, SocketAddr) {
        let engine = self.free_address();
        let service = self.free_address();
        let roles =
            format!("[standin]\nengine_address = {engine}\nservice_address = {service}\n{lines}\n");
        self.start(name, None, &roles, Some(engine), Some(service));
        (engine, service)
    }

    /// Starts a sidecar for an engine of the model `tutor` and a service `cards`. `lines` are added
    /// to its `[sidecar]` section.
    pub fn start_sidecar(
        &mut self,
        name: &str,
        engine: SocketAddr,
        service: SocketAddr,
        lines: &str,
    ) {
        self.start_sidecar_at(name, None, engine, service, lines);
    }

    fn start_sidecar_at(
        &mut self,
        name: &str,
        rpc: Option<SocketAddr>,
        engine: SocketAddr,
        service: SocketAddr,
        lines: &str,
    ) {
        let roles = format!(
            "[sidecar]\n{lines}\n[upstream {name}-engine]\nmodel = tutor\nurl = http://{engine}\n\
             checks_fence = true\n[upstream {name}-service]\nservice = cards\nurl = http://{service}\n"
        );
        self.start(name, rpc, &roles, None, None);
    }

    /// Starts a sidecar that other processes reach through a proxy.
    pub async fn start_proxied_sidecar(
        &mut self,
        name: &str,
        engine: SocketAddr,
        service: SocketAddr,
    ) -> Proxy {
        let rpc = self.free_address();
        let proxy = Proxy::start(rpc).await.unwrap();
        let saved = self.extra_instance_lines.clone();
        self.extra_instance_lines = format!("advertised_rpc_address = {}", proxy.address());
        self.start_sidecar_at(name, Some(rpc), engine, service, "");
        self.extra_instance_lines = saved;
        proxy
    }

    /// Starts a daemon with the given role sections.
    pub fn start(
        &mut self,
        name: &str,
        rpc: Option<SocketAddr>,
        roles: &str,
        http: Option<SocketAddr>,
        service: Option<SocketAddr>,
    ) {
        let rpc = rpc.unwrap_or_else(|| self.free_address());
        let admin = self.free_address();
        let control: Vec<String> = self.control.iter().map(ToString::to_string).collect();
        let control = match control.as_slice() {
            [] => String::new(),
            addresses => format!("control_addresses = {}\n", addresses.join(",")),
        };
        let text = format!(
            "[instance]\nname = {name}\nzone = z1\nrpc_address = {rpc}\nadmin_address = {admin}\n\
             admin_token = secret\n{control}{}\n{roles}",
            self.extra_instance_lines
        );
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).unwrap();
        let child = spawn(&settings, &self.log_file(name));
        let daemon = Daemon {
            child,
            settings,
            rpc,
            admin,
            http,
            service,
        };
        self.daemons.insert(name.to_owned(), daemon);
    }

    /// Returns the file that a daemon logs to.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Kills a daemon and starts it again with the same settings.
    pub fn restart(&mut self, name: &str) {
        let log = self.log_file(name);
        let daemon = self.daemons.get_mut(name).unwrap();
        let _ = daemon.child.kill();
        let _ = daemon.child.wait();
        daemon.child = spawn(&daemon.settings, &log);
    }

    /// Kills a daemon without a graceful shutdown.
    pub fn kill(&mut self, name: &str) {
        let daemon = self.daemons.get_mut(name).unwrap();
        daemon.child.kill().unwrap();
        daemon.child.wait().unwrap();
    }

    /// Sends a signal by its name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.daemons[name].child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", signal, &pid])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits until a daemon has ended by itself and returns how long that took; fails after
    /// `limit`.
    pub async fn wait_ended(&mut self, name: &str, limit: Duration) -> Duration {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self
                .daemons
                .get_mut(name)
                .unwrap()
                .child
                .try_wait()
                .unwrap()
                .is_some()
            {
                return start.elapsed();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{name} still runs after {limit:?}");
    }

    /// Returns true while a daemon has not ended.
    pub fn runs(&mut self, name: &str) -> bool {
        self.daemons
            .get_mut(name)
            .unwrap()
            .child
            .try_wait()
            .unwrap()
            .is_none()
    }

    /// Waits until `/readyz` of a daemon answers 200.
    pub async fn wait_ready(&self, name: &str) {
        let url = format!("http://{}/readyz", self.daemons[name].admin);
        let start = Instant::now();
        while start.elapsed() < READY_LIMIT {
            let answer = reqwest::get(&url).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let log = std::fs::read_to_string(self.log_file(name)).unwrap_or_default();
        panic!("{name} is not ready after {READY_LIMIT:?}; its log:\n{log}");
    }

    /// Returns the metrics page of a daemon.
    pub async fn metrics(&self, name: &str) -> String {
        let url = format!("http://{}/metrics", self.daemons[name].admin);
        reqwest::get(&url).await.unwrap().text().await.unwrap()
    }

    /// Fails if any reachable daemon reports a violated invariant in its metrics.
    pub async fn assert_no_violations(&self) {
        for (name, daemon) in &self.daemons {
            let url = format!("http://{}/metrics", daemon.admin);
            let Ok(answer) = reqwest::get(&url).await else {
                continue;
            };
            for line in answer.text().await.unwrap_or_default().lines() {
                let violated =
                    line.starts_with("lilac_invariant_violations_total") && !line.ends_with(" 0");
                assert!(!violated, "{name}: {line}");
            }
        }
    }

    /// Submits an edit against the version `base`. Resends it until it is answered.
    pub async fn edit(&self, id: &str, base: TableVersion, changes: Vec<RowChange>) -> EditAnswer {
        let command = LogCommand::Edit {
            id: EditId(id.to_owned()),
            author: "test".to_owned(),
            base,
            changes,
            now_ms: lilacspindle::adapters::clock::unix_ms(),
        };
        match self.submit(&command).await {
            Response::Edit(answer) => answer,
            other => panic!("unexpected answer {other:?}"),
        }
    }

    /// Submits a command to the control instances.
    pub async fn submit(&self, command: &LogCommand) -> Response {
        let calls = ControlCalls::new(self.control.clone());
        calls
            .submit(stamp, command, Duration::from_secs(20))
            .await
            .unwrap()
    }

    /// Starts `control` control instances, two stand-ins with a sidecar each, and two entries, and
    /// creates the rows of `rows()`.
    pub async fn start_path(&mut self, control: usize) {
        self.start_control(control).await;
        self.rows_version = self.edit("rows", TableVersion(0), rows()).await.unwrap();
        for number in 1..=2 {
            let (engine, service) = self.start_standin(&format!("standin-{number}"), "step_ms = 5");
            self.start_sidecar(&format!("sidecar-{number}"), engine, service, "");
        }
        for number in 1..=2 {
            self.start_entry(&format!("entry-{number}"));
        }
        for name in ["sidecar-1", "sidecar-2", "entry-1", "entry-2"] {
            self.wait_ready(name).await;
        }
        self.wait_routable().await;
    }

    /// Waits until both entries have served a short call.
    pub async fn wait_routable(&self) {
        let start = Instant::now();
        for name in ["entry-1", "entry-2"] {
            loop {
                let answer = completion(&self.url(name), "hint", "are you there", 3, false)
                    .send()
                    .await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                assert!(start.elapsed() < READY_LIMIT, "{name} does not serve calls");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Returns the base URL of an entry or a stand-in.
    pub fn url(&self, name: &str) -> String {
        format!("http://{}", self.daemons[name].http.unwrap())
    }
}

/// Returns whether nothing listens on an address.
///
/// The probing socket does not listen: a child that another test spawns meanwhile holds it until it
/// has started its program, and a listening socket would keep the daemon from using the address.
fn is_free(address: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).is_ok()
}

fn stamp() -> Stamp {
    Stamp {
        sender: InstanceRef {
            name: InstanceName::from("test"),
            incarnation: Incarnation(1),
        },
        table_version: TableVersion(0),
        leaving: false,
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    Command::new(env!("CARGO_BIN_EXE_lilacspindled"))
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}
