//! When a process counts as in touch, so that bounds on time hold for it.

use std::collections::BTreeSet;

use crate::soak::history::{Fault, FaultKind, History};

/// Returns true if a process was in touch at a time: for the whole connectivity window before it
/// nothing was done to the process or its links, and the control processes were stable.
pub fn is_in_touch(history: &History, process: &str, at_ms: u64) -> bool {
    let since_ms = at_ms.saturating_sub(history.bounds.connectivity_ms);
    is_undisturbed(history, process, since_ms, at_ms) && is_core_stable(history, since_ms, at_ms)
}

/// Returns the names of the control processes.
pub(super) fn controls(history: &History) -> BTreeSet<&str> {
    match &history.controls {
        Some(controls) => controls.iter().map(|name| &**name).collect(),
        None => {
            let published = history.publications.iter().map(|call| &*call.process);
            let read = history.reads.iter().map(|read| &*read.process);
            published.chain(read).collect()
        }
    }
}

/// Returns true if a fault lasted at some time of a span.
pub(super) fn overlaps(fault: &Fault, since_ms: u64, until_ms: u64) -> bool {
    fault.at_ms <= until_ms && fault.until_ms >= since_ms
}

fn is_undisturbed(history: &History, process: &str, since_ms: u64, until_ms: u64) -> bool {
    !history.faults.iter().any(|fault| {
        let disturbs = match fault.kind {
            FaultKind::Terminate
            | FaultKind::Kill
            | FaultKind::Freeze
            | FaultKind::DiskFull
            | FaultKind::DiskLost
            | FaultKind::Link
            | FaultKind::LinkHeld => true,
            FaultKind::Reload
            | FaultKind::InstanceSilent
            | FaultKind::InstanceLeaves
            | FaultKind::InstanceIll
            | FaultKind::InstanceCrashes => false,
        };
        disturbs && &*fault.target == process && overlaps(fault, since_ms, until_ms)
    })
}

/// Returns true if more than half of the control processes ran throughout the span, none was
/// stopped, started, frozen or thawed in it, and no links of theirs were harmed.
fn is_core_stable(history: &History, since_ms: u64, until_ms: u64) -> bool {
    let controls = controls(history);
    let mut absent = BTreeSet::new();
    for fault in &history.faults {
        if !controls.contains(&*fault.target) || !overlaps(fault, since_ms, until_ms) {
            continue;
        }
        match fault.kind {
            FaultKind::Link | FaultKind::LinkHeld => return false,
            FaultKind::Terminate | FaultKind::Kill | FaultKind::Freeze | FaultKind::DiskLost
                if fault.at_ms >= since_ms || fault.until_ms <= until_ms =>
            {
                return false;
            }
            FaultKind::Terminate | FaultKind::Kill | FaultKind::Freeze | FaultKind::DiskLost => {
                absent.insert(&*fault.target);
            }
            FaultKind::Reload
            | FaultKind::DiskFull
            | FaultKind::InstanceSilent
            | FaultKind::InstanceLeaves
            | FaultKind::InstanceIll
            | FaultKind::InstanceCrashes => {}
        }
    }
    controls.is_empty() || (controls.len() - absent.len()) * 2 > controls.len()
}
