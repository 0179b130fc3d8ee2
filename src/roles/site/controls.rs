//! The control instance that a process calls: the leader if it is known, else one of those that the
//! settings name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use crate::rpc::directory::DirectoryClient;
use crate::rpc::{Link, directory_link};

/// Links to control instances.
pub struct Controls {
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Instances that answered or were named as leader, kept for when the settings are outdated.
    known: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, Arc<Link<DirectoryClient>>>,
    current: Option<SocketAddr>,
    turn: usize,
    lost: bool,
}

/// Instances remembered beside those of the settings.
const MAX_KNOWN: usize = 9;

impl Controls {
    /// Returns links to the instances that the settings name, which may change. Processes begin at
    /// different ones.
    pub fn new(seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self {
            seeds,
            known: Vec::new(),
            links: BTreeMap::new(),
            current: None,
            turn: rand::random::<u16>().into(),
            lost: false,
        }
    }

    /// Returns the link to call over; none if the settings name no instance.
    pub fn link(&mut self) -> Option<Arc<Link<DirectoryClient>>> {
        let address = match self.current {
            Some(address) => address,
            None => self.next()?,
        };
        self.current = Some(address);
        let link = self
            .links
            .entry(address)
            .or_insert_with(|| directory_link(address));
        Some(Arc::clone(link))
    }

    /// Takes the leader that the called instance named; none if it leads or knows no leader.
    pub fn follow(&mut self, leader: Option<SocketAddr>) {
        if std::mem::take(&mut self.lost) {
            tracing::info!(address = ?self.current, "control answers again");
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

    /// Says that the called instance did not answer; the next call goes to another one.
    pub fn failed(&mut self, error: &str) {
        if !std::mem::replace(&mut self.lost, true) {
            tracing::warn!(address = ?self.current, error, "control does not answer");
        }
        if let Some(address) = self.current.take() {
            self.links.remove(&address);
        }
    }

    /// Says that the called instance could not confirm its answer: it may be cut off from the
    /// others. The next call goes to another one.
    pub fn unconfirmed(&mut self) {
        let before = self.current.take();
        self.current = self.next().filter(|next| Some(*next) != before);
    }

    fn next(&mut self) -> Option<SocketAddr> {
        let seeds = self.seeds.borrow();
        let mut choices = seeds.clone();
        choices.extend(self.known.iter().filter(|known| !seeds.contains(known)));
        self.turn = self.turn.wrapping_add(1);
        let position = self.turn.checked_rem(choices.len())?;
        choices.get(position).copied()
    }
}
