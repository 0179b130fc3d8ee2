//! Placement of generations by the hub.

use std::net::SocketAddr;

use super::Hub;
use crate::domain::fleet::placement::{PlacementRequest, Reservations};

impl Hub {
    /// Reserves room for a generation at the candidate with the shortest wait, and counts its request
    /// there. Returns the index of the candidate, or `None` if none has room and takes a request.
    pub fn place(&mut self, request: &PlacementRequest, now_ms: u64) -> Option<usize> {
        self.expire(now_ms);
        let takes_request = |identity: &str| self.limiters.allows(identity, now_ms);
        let fitting = self.candidates_with_room(request, takes_request, now_ms);
        let (at, _) = fitting.into_iter().min_by_key(|(_, wait_ms)| *wait_ms)?;
        self.limiters.take(&request.candidates[at].identity, now_ms);
        self.reserve(request, at, now_ms);
        Some(at)
    }

    /// Reserves room for a generation at the candidate with index `at`.
    pub fn reserve(&mut self, request: &PlacementRequest, at: usize, now_ms: u64) {
        if let Some(candidate) = request.candidates.get(at) {
            self.reservations.reserve(request, candidate, now_ms);
            self.record_load(&candidate.identity);
            let engine = std::slice::from_ref(&candidate.identity);
            self.record_own_changes(&request.entry, engine, now_ms);
        }
    }

    /// Returns the indices and addresses of the candidates with room for a generation that is moved.
    /// Instances with a request limit are in need themselves.
    pub fn with_room(
        &mut self,
        request: &PlacementRequest,
        now_ms: u64,
    ) -> Vec<(usize, SocketAddr)> {
        self.expire(now_ms);
        let is_unlimited = |identity: &str| self.limiters.milli_per_s(identity).is_none();
        let fitting = self.candidates_with_room(request, is_unlimited, now_ms);
        let fitting = fitting.into_iter();
        let with_address = fitting.filter_map(|(at, _)| {
            let listed = self.find(&request.candidates[at].identity)?;
            Some((at, listed.address))
        });
        with_address.collect()
    }

    /// Returns the indices of the candidates with room that meet a condition, and the wait at each.
    fn candidates_with_room(
        &self,
        request: &PlacementRequest,
        condition: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> Vec<(usize, u64)> {
        let usage = |identity: &str| {
            let listed = self.find(identity)?;
            let report = self.reports.get(&listed.address);
            let takes_work = report.is_none_or(|(report, _)| {
                !report.leaves() && report.holds(request.demand.prompt_tokens)
            });
            let takes_work = takes_work
                && condition(identity)
                && !self.evacuated.contains(&listed.zone)
                && !self.starts.is_unverified(listed, now_ms);
            takes_work.then(|| (self.usage(identity), self.pace(listed).unwrap_or_default()))
        };
        Reservations::with_room(request, usage)
    }
}
