//! Random histories of memberships: instances that are replaced, wiped, down or cut off, up to the
//! number of losses that the first voters tolerate. `LILAC_SEEDS` sets the number of seeds,
//! `LILAC_FIRST_SEED` the first one.

// Sizes in tests fit in any integer.
#![allow(clippy::cast_possible_truncation)]

mod log_support;

use lilacspindle::domain::log::{Core, Options};
use log_support::{ELECTION_MS, Faults, Simulation};

/// An instance counts as lost for this long after it is back: 4 s on the platform, whose election
/// timeout is 350 ms.
const CATCH_UP_MS: u64 = 4_000 * ELECTION_MS / 350;
/// A change must be acknowledged within 4 s on the platform while enough instances run.
const ACKNOWLEDGE_MS: u64 = 4_000 * ELECTION_MS / 350;

/// Time in which an instance that stops may give up its vote: half of the platform's 8 s.
const LEAVE_MS: u64 = 4_000 * ELECTION_MS / 350;

/// The options of the directory role, in election timeouts of this simulation.
fn options() -> Options {
    Options {
        drop_silent_ms: Some(8_000 * ELECTION_MS / 350),
        ..Options::default()
    }
}

fn seeds(default: u64) -> std::ops::Range<u64> {
    let variable = |name: &str| std::env::var(name).ok()?.parse().ok();
    let first = variable("LILAC_FIRST_SEED").unwrap_or(0);
    first..first + variable("LILAC_SEEDS").unwrap_or(default)
}

/// A simulation whose faults are chosen by a history, and the instances that count as lost.
struct Histories {
    simulation: Simulation,
    /// For each loss, until when it counts.
    lost_until_ms: Vec<u64>,
    started: usize,
}

impl Histories {
    fn new(seed: u64, voters: usize) -> Self {
        Self::with_options(seed, voters, options())
    }

    /// Returns a cluster that keeps as many voters as it takes to tolerate losses.
    fn tolerating(seed: u64, voters: usize, losses: usize) -> Self {
        let options = Options {
            min_voters: 2 * losses + 1,
            ..options()
        };
        Self::with_options(seed, voters, options)
    }

    fn with_options(seed: u64, voters: usize, options: Options) -> Self {
        let faults = Faults {
            max_delay_ms: 5,
            loss: 5,
            ..Faults::default()
        };
        let mut simulation = Simulation::new(seed, voters, faults, options);
        simulation.run(2_000, true);
        Self {
            simulation,
            lost_until_ms: Vec::new(),
            started: voters,
        }
    }

    fn run(&mut self, for_ms: u64) {
        self.simulation.run(for_ms, true);
        let now_ms = self.simulation.now_ms;
        self.lost_until_ms.retain(|until_ms| now_ms < *until_ms);
    }

    fn start_instance(&mut self) {
        let name = format!("n{}", self.started);
        self.started += 1;
        self.simulation.add_node(&name);
    }

    /// Counts a loss that ends `back_in_ms` from now.
    fn count_loss(&mut self, back_in_ms: u64) {
        self.lost_until_ms
            .push(self.simulation.now_ms + back_in_ms + CATCH_UP_MS);
    }

    /// Returns a random instance that is neither down nor cut off.
    fn running_instance(&mut self) -> usize {
        let running: Vec<usize> = self.running().collect();
        running[self.simulation.random.below(running.len() as u64) as usize]
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        let now_ms = self.simulation.now_ms;
        let nodes = self.simulation.nodes.iter().enumerate();
        nodes
            .filter(move |(_, node)| node.core.is_some() && now_ms >= node.isolated_until_ms)
            .map(|(number, _)| number)
    }

    /// Replaces a random instance as planned: its successor has caught up when it stops. No loss is
    /// counted.
    fn replace_as_planned(&mut self) {
        self.start_instance();
        let catch_up_ms = CATCH_UP_MS + self.simulation.random.below(CATCH_UP_MS);
        self.run(catch_up_ms);
        let number = self.running_member();
        self.simulation.leave(number, LEAVE_MS);
        self.simulation.remove_node(number);
    }

    /// Stops a random instance as planned and starts it again with its disk.
    fn restart_as_planned(&mut self) {
        let number = self.running_member();
        let down_ms = 50 + self.simulation.random.below(CATCH_UP_MS);
        self.simulation.leave(number, LEAVE_MS);
        self.simulation.crash(number, down_ms);
        self.count_loss(down_ms);
    }

    /// Returns a random instance that runs and is a member; every other time the leader.
    fn running_member(&mut self) -> usize {
        match self.simulation.random.chance(500) {
            true => self.simulation.leader(),
            false => None,
        }
        .unwrap_or_else(|| self.running_instance())
    }

    /// One loss of a random kind.
    fn lose_one(&mut self) {
        let number = self.running_instance();
        let for_ms = 50 + self.simulation.random.below(2 * CATCH_UP_MS);
        match self.simulation.random.below(5) {
            0 => {
                self.simulation.remove_node(number);
                let gap_ms = self.simulation.random.below(1_000);
                self.run(gap_ms);
                self.start_instance();
                self.count_loss(0);
            }
            1 => {
                self.simulation.lose_disk(number);
                self.count_loss(0);
            }
            2 => {
                self.simulation.lose_disk(number);
                self.simulation.crash(number, for_ms);
                self.count_loss(for_ms);
            }
            3 => {
                self.simulation.crash(number, for_ms);
                self.count_loss(for_ms);
            }
            _ => {
                self.simulation.isolate(number, for_ms);
                self.count_loss(for_ms);
            }
        }
    }

    /// Splits the instances into two halves, loses a disk on one side, and joins them again.
    fn split_and_lose_a_disk(&mut self) {
        let half = self.simulation.nodes.len() / 2;
        let first = self.simulation.random.below(2) as usize * half;
        let side = self.simulation.nodes.iter().skip(first).take(half);
        self.simulation.split = side.map(|node| node.id).collect();
        let before_ms = self.simulation.random.below(3 * CATCH_UP_MS);
        self.run(before_ms);
        let number = self.running_instance();
        self.simulation.lose_disk(number);
        let after_ms = self.simulation.random.below(CATCH_UP_MS);
        self.run(after_ms);
        self.simulation.split.clear();
        self.count_loss(0);
    }

    /// Ends all faults. Fails unless the cluster serves again and has lost nothing.
    fn check_healed(&mut self) -> Result<(), String> {
        self.simulation.heal();
        self.run(2 * CATCH_UP_MS);
        self.check_service("healed")?;
        self.simulation.check_logs();
        match self.simulation.violations.first() {
            Some(violation) => Err(violation.clone()),
            None => self.simulation.history.check(),
        }
    }

    /// Fails unless an operation completes in time.
    fn check_service(&mut self, what: &str) -> Result<(), String> {
        if let Some(violation) = self.simulation.violations.first() {
            return Err(violation.clone());
        }
        let (before, end_ms) = (
            self.simulation.history.completed(),
            self.simulation.now_ms + ACKNOWLEDGE_MS,
        );
        while self.simulation.now_ms < end_ms {
            self.run(ELECTION_MS);
            if self.simulation.history.completed() > before {
                return Ok(());
            }
        }
        let members: Vec<_> = self
            .simulation
            .nodes
            .iter()
            .filter_map(|node| node.core.as_ref())
            .filter_map(Core::config)
            .map(|config| config.voters().count())
            .collect();
        Err(format!(
            "{what}: nothing is acknowledged at {end_ms} ms; voters known to the instances: {members:?}"
        ))
    }
}

/// Runs one history of a cluster that is formed by 3 to 9 voters.
fn run_history(seed: u64) -> Result<(), String> {
    let voters = 3 + (seed % 7) as usize;
    let tolerated = (voters - 1) / 2;
    let mut histories = Histories::new(seed, voters);
    for step in 0..12 {
        let random = histories.simulation.random.below(8);
        let quiet = histories.lost_until_ms.is_empty();
        match random {
            0 if quiet => histories.split_and_lose_a_disk(),
            _ if histories.lost_until_ms.len() < tolerated => histories.lose_one(),
            _ => {}
        }
        histories.check_service(&format!("step {step}, {voters} voters"))?;
        let pause_ms = histories.simulation.random.below(CATCH_UP_MS);
        histories.run(pause_ms);
    }
    histories.check_healed()
}

/// Guards against clusters that stop, or lose an acknowledged change, although no more instances
/// are lost at once than the voters tolerate.
#[test]
fn memberships_tolerate_further_losses_after_each_replacement() {
    for seed in seeds(120) {
        assert_eq!(run_history(seed), Ok(()), "seed {seed}");
    }
}

/// Guards against a quorum that ends with the next lost disk because a dead voter still counts
/// beside its replacement.
#[test]
fn disk_lost_after_a_replacement_leaves_a_leader() {
    for seed in seeds(40) {
        let mut histories = Histories::new(seed, 3);
        let leader = histories
            .simulation
            .leader()
            .expect("a leader without faults");
        let replaced = (leader + seed as usize) % 3;
        histories.simulation.remove_node(replaced);
        histories.run(100);
        histories.start_instance();
        histories.run(CATCH_UP_MS);
        let wiped = histories.running_instance();
        histories.simulation.lose_disk(wiped);
        assert_eq!(histories.check_service("disk lost"), Ok(()), "seed {seed}");
    }
}

/// Guards against a quorum that ends with the next lost disk because an instance that has stopped as
/// planned still votes.
#[test]
fn disk_lost_after_a_planned_departure_leaves_a_leader() {
    for seed in seeds(60) {
        let voters = 3 + (seed % 6) as usize;
        let losses = (voters - 1) / 2;
        let mut histories = Histories::tolerating(seed, voters, losses);
        histories.replace_as_planned();
        for _ in 0..losses {
            let wiped = histories.running_instance();
            histories.simulation.lose_disk(wiped);
        }
        assert_eq!(histories.check_service("disk lost"), Ok(()), "seed {seed}");
    }
}

/// Runs one history with planned replacements and restarts, of the leader in half of the cases, and
/// losses up to the tolerated number beside them.
fn run_history_with_departures(seed: u64) -> Result<(), String> {
    let voters = 3 + (seed % 7) as usize;
    let tolerated = (voters - 1) / 2;
    let mut histories = Histories::tolerating(seed, voters, tolerated);
    for step in 0..12 {
        let lost = histories.lost_until_ms.len();
        let is_full = histories.simulation.nodes.len() > voters;
        match histories.simulation.random.below(4) {
            0 if !is_full => histories.replace_as_planned(),
            1 if lost < tolerated => histories.restart_as_planned(),
            _ if lost < tolerated => histories.lose_one(),
            _ => {}
        }
        histories.check_service(&format!("step {step}, {voters} voters"))?;
        let pause_ms = histories.simulation.random.below(CATCH_UP_MS);
        histories.run(pause_ms);
    }
    histories.check_healed()
}

/// Guards against clusters that stop, or lose an acknowledged change, although no more instances are
/// lost at once than the voters tolerate: those that leave as planned must not count as lost.
#[test]
fn memberships_tolerate_losses_beside_planned_departures() {
    for seed in seeds(120) {
        assert_eq!(run_history_with_departures(seed), Ok(()), "seed {seed}");
    }
}
