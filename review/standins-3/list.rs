//! The platform's list holds entries of another writer when a final fault comes.

use std::thread;
use std::time::{Duration, Instant};

use crate::site::{Plan, RECOVERY_S, Record, Site, cannot_run};

/// An entry of another writer that cannot be read: what it is, and its bytes.
const UNREADABLE: [(&str, &[u8]); 3] = [
    (
        "bytes that are no text in JSON",
        b"{\"identifier\":\"job-\x01\x02\",\"service\":\"batch\",\"state\":\"ready\"}",
    ),
    (
        "half of a surrogate pair",
        b"{\"identifier\":\"job-\\ud83d\",\"service\":\"batch\",\"state\":\"ready\"}",
    ),
    (
        "a number beyond all ranges",
        b"{\"identifier\":\"job-7\",\"service\":\"batch\",\"state\":\"ready\",\"slots\":1e999}",
    ),
];

/// Requests that were sent, and those of them that were served.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn is_a_quarter(self) -> bool {
        self.served * 4 >= self.sent
    }
}

/// One entry that cannot be read stands in the list.
pub fn unreadable(record: &Record, trouble: bool) -> bool {
    if !trouble {
        return play(record, |_| {});
    }
    let mut broken = false;
    for (what, bytes) in UNREADABLE {
        record.line(&format!("--- the entry holds {what}"));
        broken |= play(record, |site| site.add_foreign(vec![bytes.to_vec()]));
    }
    broken
}

/// For each server there is an entry of another writer, which calls its service by another name.
pub fn other_service(record: &Record, trouble: bool) -> bool {
    play(record, |site| {
        if trouble {
            site.add_foreign(site.entries_of_service("batch-pool"));
        }
    })
}

/// Plays a day with a final fault: all processes are killed right after a configuration was
/// acknowledged, and are back a second later. Returns true if RECOVER is broken.
fn play(record: &Record, write: impl Fn(&Site)) -> bool {
    let mut site = Site::prepare(record.clone(), &Plan::small());
    site.start_all();
    if !site.publish(7) {
        cannot_run("no configuration was acknowledged");
    }
    site.end_bootstrap();
    if !site.is_served(0) || !site.is_served(1) {
        cannot_run("nothing is served");
    }
    let before = traffic(&site, 0xb0, Duration::from_secs(5));
    write(&site);
    record.line(&format!(
        "the list now holds {} entries of another writer",
        site.foreign()
    ));
    // The list is read every 0.3 s.
    let just_before = traffic(&site, 0xb1, Duration::from_secs(1));
    if !site.publish(9) {
        cannot_run("the second configuration was not acknowledged");
    }
    site.kill_all();
    record.line("final fault: all processes were killed");
    thread::sleep(Duration::from_secs(1));
    site.start_all();
    traffic(&site, 0xb2, Duration::from_secs(RECOVERY_S));
    let after = traffic(&site, 0xb3, Duration::from_secs(5));
    let before = Count {
        sent: before.sent + just_before.sent,
        served: before.served + just_before.served,
    };
    record.line(&format!(
        "before the final fault: {} of {} served",
        before.served, before.sent
    ));
    record.line(&format!(
        "later than {RECOVERY_S} s after the processes were back: {} of {} served",
        after.served, after.sent
    ));
    before.is_a_quarter() && !after.is_a_quarter()
}

/// Sends requests of a safe route to both entries by turns.
fn traffic(site: &Site, tag: u8, length: Duration) -> Count {
    let begun = Instant::now();
    let mut count = Count::default();
    while begun.elapsed() < length {
        let id = format!("{tag:02x}{:014x}", count.sent);
        count.sent += 1;
        count.served += usize::from(site.call(count.sent % 2, &id, "/lohu930/2f") == 200);
        thread::sleep(Duration::from_millis(50));
    }
    count
}
