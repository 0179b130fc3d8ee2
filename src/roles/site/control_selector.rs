//! Selects the control instance that a process calls: the leader if it is known, else one of those
//! that the settings name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use crate::rpc::directory::DirectoryClient;
use crate::rpc::{Link, directory_link};

/// Connections to control instances, and the choice of the one to call.
pub struct ControlSelector {
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Instances that were named as leader, the newest first; used if the settings are outdated.
    known: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, Arc<Link<DirectoryClient>>>,
    /// The instance to call next; `None` if another one is to be selected.
    current: Option<SocketAddr>,
    next_index: usize,
    /// True if the last call failed.
    is_unreachable: bool,
}

/// Upper bound on the remembered instances besides those of the settings.
const MAX_KNOWN: usize = 9;

impl ControlSelector {
    /// Returns connections to `seeds`, the instances that the settings name, which may change. The
    /// first instance is selected at random, to spread the calls of many processes.
    pub fn new(seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self {
            seeds,
            known: Vec::new(),
            links: BTreeMap::new(),
            current: None,
            next_index: rand::random::<u16>().into(),
            is_unreachable: false,
        }
    }

    /// Returns the connection for the next call; `None` if the settings name no instance.
    pub fn link(&mut self) -> Option<Arc<Link<DirectoryClient>>> {
        let address = match self.current {
            Some(address) => address,
            None => self.next_address()?,
        };
        self.current = Some(address);
        let link = self
            .links
            .entry(address)
            .or_insert_with(|| directory_link(address));
        Some(Arc::clone(link))
    }

    /// Records an answer and directs further calls to the leader that it names. `leader` is `None`
    /// if the called instance leads or knows no leader.
    pub fn follow(&mut self, leader: Option<SocketAddr>) {
        if std::mem::take(&mut self.is_unreachable) {
            tracing::info!(address = ?self.current, "control instances are reachable again");
        }
        let Some(leader) = leader else {
            return;
        };
        if !self.known.contains(&leader) {
            self.known.truncate(MAX_KNOWN - 1);
            self.known.insert(0, leader);
        }
        self.current = Some(leader);
    }

    /// Records that the called instance did not answer; the next call goes to another one.
    pub fn failed(&mut self, error: &str) {
        if !std::mem::replace(&mut self.is_unreachable, true) {
            tracing::warn!(address = ?self.current, error,
                "control instance does not answer; trying others");
        }
        if let Some(address) = self.current.take() {
            self.links.remove(&address);
        }
    }

    /// Records that the called instance could not confirm its answer: it may be partitioned from
    /// the others. The next call goes to another one.
    pub fn unconfirmed(&mut self) {
        let previous = self.current.take();
        self.current = self.next_address().filter(|next| Some(*next) != previous);
    }

    fn next_address(&mut self) -> Option<SocketAddr> {
        let seeds = self.seeds.borrow();
        let mut candidates = seeds.clone();
        candidates.extend(self.known.iter().filter(|known| !seeds.contains(known)));
        self.next_index = self.next_index.wrapping_add(1);
        let index = self.next_index.checked_rem(candidates.len())?;
        candidates.get(index).copied()
    }
}
