//! Carries out the steps of a plan.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

use super::document::{ENGINE_SERVICE, PLAIN_SERVICES};
use super::plan::{Action, ServiceStep};
use super::platform::Platform;
use super::processes::{Layout, Processes, control_name, entry_name};
use super::recorder::Recorder;
use super::services::Health;
use super::upstreams::{Fleet, SLOTS, Upstream};
use crate::adapters::mutex::lock;
use crate::proxy::{Direction, Proxy};
use crate::soak::history::FaultKind;

/// Time after which the address of an instance that is gone is used again.
const REUSE_DELAY: Duration = Duration::from_millis(2_500);
/// Time for which an instance that has crashed is listed beside the one that has taken its address.
const STALE_ENTRY_TIME: Duration = Duration::from_millis(2_500);
/// Connections that an instance without a proxy has not accepted yet.
const BACKLOG: u32 = 32;
/// Time between SIGHUP and the process having read its settings again.
const RELOAD_TIME: Duration = Duration::from_millis(500);

/// The place of an upstream instance: its address and links, which stay the same.
pub(super) struct Place {
    index: usize,
    own_address: SocketAddr,
    proxy: Proxy,
    /// True if the instance is listed under its own address, not that of the proxy.
    is_direct: bool,
    /// Illnesses outlast a crash.
    health: Arc<Health>,
    starts: Mutex<u32>,
    current: Mutex<Option<Arc<Upstream>>>,
}

pub(super) struct Site {
    pub(super) layout: Arc<Layout>,
    pub(super) recorder: Arc<Recorder>,
    pub(super) processes: Processes,
    pub(super) platform: Arc<Platform>,
    pub(super) fleet: Arc<Fleet>,
    /// The engines, followed by the plain services.
    pub(super) places: Vec<Place>,
    pub(super) engines: usize,
    /// Names of processes and instances that a step has not finished with.
    busy: Mutex<BTreeSet<String>>,
}

impl Place {
    pub(super) async fn new(
        index: usize,
        own_address: SocketAddr,
        seed: u64,
        is_direct: bool,
    ) -> io::Result<Self> {
        Ok(Self {
            index,
            own_address,
            is_direct,
            proxy: Proxy::start_seeded(own_address, seed ^ index as u64).await?,
            health: Arc::new(Health::new(seed ^ index as u64)),
            starts: Mutex::new(0),
            current: Mutex::new(None),
        })
    }

    /// Returns the address under which the instance is listed.
    pub(super) fn address(&self) -> SocketAddr {
        match self.is_direct {
            true => self.own_address,
            false => self.proxy.address(),
        }
    }

    fn current(&self) -> Option<Arc<Upstream>> {
        lock(&self.current).clone()
    }
}

impl Site {
    pub(super) fn new(
        layout: Arc<Layout>,
        recorder: Arc<Recorder>,
        places: Vec<Place>,
        engines: usize,
    ) -> Self {
        Self {
            processes: Processes::new(&layout, Arc::clone(&recorder)),
            platform: Arc::new(Platform::new(Arc::clone(&recorder))),
            fleet: Arc::new(Fleet::new(Arc::clone(&recorder))),
            layout,
            recorder,
            places,
            engines,
            busy: Mutex::default(),
        }
    }

    pub(super) fn service_of(&self, place: usize) -> &'static str {
        match place < self.engines {
            true => ENGINE_SERVICE,
            false => PLAIN_SERVICES[place % PLAIN_SERVICES.len()],
        }
    }

    /// Starts a new instance at a place.
    pub(super) fn start_instance(&self, place: &Place) -> io::Result<()> {
        let number = {
            let mut starts = lock(&place.starts);
            *starts += 1;
            *starts
        };
        let identity: Arc<str> = format!("i-{}-{number}", place.index).into();
        let (service, address) = (self.service_of(place.index), place.address());
        self.start_as(place, Arc::clone(&identity))?;
        self.platform
            .add(&identity, service, address, place.index, SLOTS);
        Ok(())
    }

    /// Starts an instance with an identity, without listing it.
    fn start_as(&self, place: &Place, identity: Arc<str>) -> io::Result<()> {
        let listener = listen(place)?;
        let (service, address) = (self.service_of(place.index), place.address());
        let is_engine = place.index < self.engines;
        let upstream = self.fleet.start(
            identity,
            service.into(),
            address,
            is_engine,
            Arc::clone(&place.health),
            listener,
        );
        *lock(&place.current) = Some(upstream);
        Ok(())
    }

    /// Carries out a step, unless an earlier one has not finished with the same target.
    pub(super) async fn carry_out(&self, action: Action) -> io::Result<()> {
        let (target, links) = match action {
            Action::StopEntry { entry }
            | Action::ReloadEntry { entry, .. }
            | Action::FreezeEntry { entry, .. } => (entry_name(entry), false),
            Action::StopControl { control, .. }
            | Action::KillControl { control, .. }
            | Action::FreezeControl { control, .. }
            | Action::FillDisk { control, .. } => (control_name(control), false),
            Action::SilenceEngine { engine, .. }
            | Action::LeaveEngine { engine, .. }
            | Action::CrashEngine { engine, .. } => (format!("engine-{engine}"), false),
            Action::DelayLink { engine, .. } | Action::HoldLink { engine, .. } => {
                (format!("engine-{engine}"), true)
            }
            // An instance may have several illnesses at once.
            Action::Service {
                service,
                step: ServiceStep::Sicken { illness, .. },
            } => (format!("service-{service}-{illness:?}"), false),
            Action::Service { service, .. } => (format!("service-{service}"), false),
        };
        let name = if links {
            format!("{target}-links")
        } else {
            target.clone()
        };
        if !lock(&self.busy).insert(name.clone()) {
            return Ok(());
        }
        let done = self.act(action, &target).await;
        lock(&self.busy).remove(&name);
        done
    }

    async fn act(&self, action: Action, target: &str) -> io::Result<()> {
        let at_ms = self.recorder.now_ms();
        // Faults of an engine and its links are recorded by the instance that runs there.
        let instance = match action {
            Action::SilenceEngine { engine, .. }
            | Action::DelayLink { engine, .. }
            | Action::HoldLink { engine, .. } => self.places[engine].current(),
            _ => None,
        };
        let recorded = instance.as_ref();
        let recorded = recorded.map_or(target, |upstream| &*upstream.identity);
        let kill_at = Instant::now() + Duration::from_millis(self.layout.grace_ms);
        let processes = &self.processes;
        let millis = Duration::from_millis;
        let kind = match action {
            Action::StopEntry { .. } => {
                processes.stop(target, kill_at).await?;
                processes.start(target)?;
                FaultKind::Terminate
            }
            Action::ReloadEntry { entry, reseeds } => {
                let first = if reseeds {
                    entry % self.layout.controls
                } else {
                    0
                };
                let settings = self.layout.entry_settings(entry, first);
                processes.write_settings(target, &settings)?;
                processes.signal(target, Signal::HUP)?;
                sleep(RELOAD_TIME).await;
                FaultKind::Reload
            }
            Action::StopControl {
                control,
                loses_disk,
            } => {
                processes.stop(target, kill_at).await?;
                if loses_disk {
                    std::fs::remove_dir_all(self.layout.data_folder(control))?;
                }
                processes.start(target)?;
                match loses_disk {
                    true => FaultKind::DiskLost,
                    false => FaultKind::Terminate,
                }
            }
            Action::KillControl { down_ms, .. } => {
                processes.kill(target).await?;
                sleep(millis(down_ms)).await;
                processes.start(target)?;
                FaultKind::Kill
            }
            Action::FreezeControl { for_ms, .. } | Action::FreezeEntry { for_ms, .. } => {
                processes.signal(target, Signal::STOP)?;
                sleep(millis(for_ms)).await;
                processes.signal(target, Signal::CONT)?;
                FaultKind::Freeze
            }
            Action::FillDisk { for_ms, .. } => {
                processes.fill_disk(target, true)?;
                sleep(millis(for_ms)).await;
                processes.fill_disk(target, false)?;
                FaultKind::DiskFull
            }
            Action::Service { service, step } => {
                return self.act_on_service(service, step, at_ms).await;
            }
            Action::SilenceEngine { for_ms, .. } => {
                if let Some(upstream) = &instance {
                    upstream.silence(at_ms + for_ms);
                }
                sleep(millis(for_ms)).await;
                FaultKind::InstanceSilent
            }
            Action::LeaveEngine { engine, notice_ms } => {
                return self
                    .replace_instance(&self.places[engine], at_ms, notice_ms)
                    .await;
            }
            Action::CrashEngine { engine, down_ms } => {
                let place = &self.places[engine];
                return self.crash_instance(place, at_ms, down_ms).await;
            }
            Action::DelayLink {
                engine,
                delay_ms,
                for_ms,
            } => {
                let delay = |proxy: &Proxy| proxy.delay(Direction::Both, delay_ms, delay_ms / 4);
                self.disturb_link(engine, for_ms, delay).await;
                FaultKind::Link
            }
            Action::HoldLink { engine, for_ms } => {
                let hold = |proxy: &Proxy| proxy.pause(Direction::Both);
                self.disturb_link(engine, for_ms, hold).await;
                FaultKind::LinkHeld
            }
        };
        self.recorder.fault(kind, recorded, at_ms);
        Ok(())
    }

    async fn disturb_link(&self, engine: usize, for_ms: u64, disturb: impl FnOnce(&Proxy)) {
        let proxy = &self.places[engine].proxy;
        disturb(proxy);
        sleep(Duration::from_millis(for_ms)).await;
        proxy.heal();
    }

    async fn act_on_service(
        &self,
        service: usize,
        step: ServiceStep,
        at_ms: u64,
    ) -> io::Result<()> {
        let place = &self.places[self.engines + service];
        let Some(upstream) = place.current() else {
            return Ok(());
        };
        let millis = Duration::from_millis;
        let record = |kind| self.recorder.fault(kind, &upstream.identity, at_ms);
        match step {
            ServiceStep::Sicken { illness, for_ms } => {
                upstream.health.sicken(illness, at_ms + for_ms);
                sleep(millis(for_ms)).await;
                record(FaultKind::InstanceIll);
            }
            ServiceStep::Silence { for_ms } => {
                upstream.silence(at_ms + for_ms);
                sleep(millis(for_ms)).await;
                record(FaultKind::InstanceSilent);
            }
            ServiceStep::Replace { notice_ms } => {
                self.replace_instance(place, at_ms, notice_ms).await?;
            }
            ServiceStep::Crash {
                down_ms,
                keeps_identity: true,
            } => {
                upstream.leave();
                sleep(millis(down_ms)).await;
                self.start_as(place, Arc::clone(&upstream.identity))?;
                record(FaultKind::InstanceCrashes);
            }
            ServiceStep::Crash { down_ms, .. } => {
                self.crash_instance(place, at_ms, down_ms).await?;
            }
        }
        Ok(())
    }

    /// Ends an instance, which the platform lists for a while, and starts another one at its place.
    async fn crash_instance(&self, place: &Place, at_ms: u64, down_ms: u64) -> io::Result<()> {
        let Some(upstream) = place.current() else {
            return Ok(());
        };
        upstream.leave();
        sleep(Duration::from_millis(down_ms)).await;
        self.start_instance(place)?;
        self.recorder
            .fault(FaultKind::InstanceCrashes, &upstream.identity, at_ms);
        sleep(STALE_ENTRY_TIME).await;
        self.platform.end(&upstream.identity);
        Ok(())
    }

    async fn replace_instance(&self, place: &Place, at_ms: u64, notice_ms: u64) -> io::Result<()> {
        let Some(upstream) = place.current() else {
            return Ok(());
        };
        upstream.announce_leave(at_ms + notice_ms);
        self.platform.drain(&upstream.identity);
        sleep(Duration::from_millis(notice_ms)).await;
        upstream.leave();
        self.platform.end(&upstream.identity);
        self.recorder
            .fault(FaultKind::InstanceLeaves, &upstream.identity, at_ms);
        sleep(REUSE_DELAY).await;
        self.start_instance(place)
    }
}

fn listen(place: &Place) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(place.own_address)?;
    socket.listen(BACKLOG)
}
