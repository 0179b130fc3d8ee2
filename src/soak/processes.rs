//! The daemons of a run: their settings, and their start, signals and end.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use tokio::process::{Child, Command};
use tokio::time::{Instant, timeout_at};

use super::plan::Plan;
use super::recorder::Recorder;
use crate::adapters::mutex::lock;
use crate::soak::history::UnexpectedExit;

const RPC_PORT: u16 = 7_200;
const ADMIN_PORT: u16 = 7_201;
const OPERATOR_PORT: u16 = 7_202;
const CALLER_PORT: u16 = 7_203;
const READY_PORT: u16 = 7_204;
const LIST_PORT: u16 = 7_205;
/// Last octets of the addresses of the first control process, entry and sidecar.
const FIRST_CONTROL: usize = 10;
const FIRST_ENTRY: usize = 30;
const FIRST_SIDECAR: usize = 80;
const MAX_NAMED_CONTROLS: usize = 3;

/// Addresses and files of a run.
pub(super) struct Layout {
    pub(super) folder: PathBuf,
    pub(super) daemon: PathBuf,
    /// Second and third octet of the loopback addresses of the run.
    pub(super) network: [u8; 2],
    pub(super) controls: usize,
    pub(super) grace_ms: u64,
}

impl Layout {
    fn address(&self, machine: usize, port: u16) -> SocketAddr {
        let machine = u8::try_from(machine).unwrap_or(u8::MAX);
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], machine);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    pub(super) fn list_address(&self) -> SocketAddr {
        self.address(1, LIST_PORT)
    }

    pub(super) fn operator_address(&self, control: usize) -> SocketAddr {
        self.address(FIRST_CONTROL + control, OPERATOR_PORT)
    }

    pub(super) fn caller_address(&self, entry: usize) -> SocketAddr {
        self.address(FIRST_ENTRY + entry, CALLER_PORT)
    }

    pub(super) fn ready_address(&self, entry: usize) -> SocketAddr {
        self.address(FIRST_ENTRY + entry, READY_PORT)
    }

    pub(super) fn data_folder(&self, control: usize) -> PathBuf {
        self.folder.join(format!("data-{control}"))
    }

    /// Returns the common section of settings. The named control addresses begin with the one of
    /// `first_control`.
    fn instance(&self, name: &str, machine: usize, index: usize, first_control: usize) -> String {
        let named: Vec<String> = (0..self.controls.min(MAX_NAMED_CONTROLS))
            .map(|n| (first_control + n) % self.controls)
            .map(|control| self.operator_address(control).to_string())
            .collect();
        format!(
            "[instance]\nname = {name}\nzone = z{}\nrpc_address = {}\nadmin_address = {}\n\
             control_addresses = {}\ncontrol_rpc_port = {RPC_PORT}\n\n",
            Plan::zone(index),
            self.address(machine, RPC_PORT),
            self.address(machine, ADMIN_PORT),
            named.join(","),
        )
    }

    pub(super) fn control_settings(&self, control: usize, may_form: bool) -> String {
        format!(
            "{}[directory]\noperator_address = {}\ndata_folder = {}\nlist_address = {}\n\
             may_form = {may_form}\n",
            self.instance(&control_name(control), FIRST_CONTROL + control, control, 0),
            self.operator_address(control),
            self.data_folder(control).display(),
            self.list_address(),
        )
    }

    pub(super) fn entry_settings(&self, entry: usize, first_control: usize) -> String {
        let name = entry_name(entry);
        format!(
            "{}[gateway]\nhttp_address = {}\nready_address = {}\nlist_address = {}\n\
             grace_ms = {}\n",
            self.instance(&name, FIRST_ENTRY + entry, entry, first_control),
            self.caller_address(entry),
            self.ready_address(entry),
            self.list_address(),
            self.grace_ms,
        )
    }

    pub(super) fn sidecar_settings(&self, index: usize, service: &str, at: SocketAddr) -> String {
        let name = sidecar_name(index);
        format!(
            "{}[reporter]\nengine_address = {at}\nengine_service = {service}\n",
            self.instance(&name, FIRST_SIDECAR + index, index, 0),
        )
    }
}

pub(super) fn control_name(control: usize) -> String {
    format!("control-{control}")
}

pub(super) fn entry_name(entry: usize) -> String {
    format!("entry-{entry}")
}

pub(super) fn sidecar_name(index: usize) -> String {
    format!("sidecar-{index}")
}

/// The running daemons. They are killed when this is dropped.
pub(super) struct Processes {
    daemon: PathBuf,
    folder: PathBuf,
    recorder: Arc<Recorder>,
    running: Mutex<BTreeMap<String, Child>>,
}

impl Processes {
    pub(super) fn new(layout: &Layout, recorder: Arc<Recorder>) -> Self {
        Self {
            daemon: layout.daemon.clone(),
            folder: layout.folder.clone(),
            recorder,
            running: Mutex::default(),
        }
    }

    fn settings_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.ini"))
    }

    pub(super) fn write_settings(&self, name: &str, settings: &str) -> io::Result<()> {
        std::fs::write(self.settings_file(name), settings)
    }

    /// Starts a daemon with the settings in its file; its output is appended to `NAME.log`.
    pub(super) fn start(&self, name: &str) -> io::Result<()> {
        // The limit on file sizes, which stands for a full disk, then only fails writes.
        let mut child = Command::new("sh")
            .arg("-c")
            .arg("trap '' XFSZ; exec \"$0\" run \"$1\" 2>&1")
            .arg(&self.daemon)
            .arg(self.settings_file(name))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        if let Some(mut output) = child.stdout.take() {
            let log = log_file(&self.folder, name)?;
            let mut log = tokio::fs::File::from_std(log);
            let name = name.to_owned();
            tokio::spawn(async move {
                if let Err(error) = tokio::io::copy(&mut output, &mut log).await {
                    eprintln!("soak: cannot write the log of {name}: {error}");
                }
            });
        }
        lock(&self.running).insert(name.to_owned(), child);
        Ok(())
    }

    fn pid(&self, name: &str) -> io::Result<Pid> {
        let running = lock(&self.running);
        let id = running.get(name).and_then(Child::id);
        id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?))
            .ok_or_else(|| {
                io::Error::new(io::ErrorKind::NotFound, format!("{name} is not running"))
            })
    }

    pub(super) fn signal(&self, name: &str, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid(name)?, signal)?)
    }

    /// Sets whether files of a daemon can grow.
    pub(super) fn fill_disk(&self, name: &str, full: bool) -> io::Result<()> {
        let limit = Rlimit {
            current: full.then_some(0),
            maximum: None,
        };
        prlimit(Some(self.pid(name)?), Resource::Fsize, limit)?;
        Ok(())
    }

    /// Sends SIGTERM, and SIGKILL at `kill_at`. Returns once the process has ended.
    pub(super) async fn stop(&self, name: &str, kill_at: Instant) -> io::Result<()> {
        let pid = self.pid(name)?;
        // Taken out first: its end is expected from here on.
        let Some(mut child) = lock(&self.running).remove(name) else {
            return Ok(());
        };
        kill_process(pid, Signal::TERM)?;
        if timeout_at(kill_at, child.wait()).await.is_err() {
            eprintln!("soak: {name} is killed after its grace period");
            child.kill().await?;
        }
        Ok(())
    }

    pub(super) async fn kill(&self, name: &str) -> io::Result<()> {
        let child = lock(&self.running).remove(name);
        match child {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Records daemons that have ended by themselves.
    pub(super) fn record_unexpected_exits(&self) {
        let at_ms = self.recorder.now_ms();
        let mut ended = Vec::new();
        lock(&self.running).retain(|name, child| match child.try_wait() {
            Ok(None) => true,
            result => {
                ended.push(UnexpectedExit {
                    process: name.as_str().into(),
                    at_ms,
                    detail: format!("{result:?}").into(),
                });
                false
            }
        });
        self.recorder.history().unexpected_exits.extend(ended);
    }
}

fn log_file(folder: &Path, name: &str) -> io::Result<std::fs::File> {
    std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))
}
