//! Schedule of entries' own reads of the platform's list, without I/O.

use lilacspindle::domain::fleet::ListReads;

/// Returns the number of reads that `entries` entries begin during `for_ms` without control, if
/// each read takes 50 ms and ends as `succeeds` says.
fn reads(entries: u32, for_ms: u64, succeeds: bool) -> usize {
    let mut begun = 0;
    for entry in 0..u64::from(entries) {
        let mut reads = ListReads::default();
        let mut ends_ms = None;
        for now_ms in (0..for_ms).step_by(10) {
            if ends_ms.is_some_and(|ends_ms| now_ms >= ends_ms) {
                reads.end(succeeds);
                ends_ms = None;
            }
            // Spreads the entries over time, as random numbers do.
            let random = entry * 7_919 + now_ms;
            if reads.begin(entries, random, now_ms) {
                assert!(ends_ms.is_none(), "one read at a time");
                ends_ms = Some(now_ms + 50);
                begun += 1;
            }
        }
    }
    begun
}

/// Entries of a large fleet that has lost control must not read the list so often that the platform
/// cannot respond to control. On the largest deployment the platform handles 1,000 calls a second,
/// and a list of 2,998 instances has 60 pages.
#[test]
fn entries_of_a_large_fleet_share_the_reads() {
    let begun = reads(400, 8_000, true);
    assert!((400..=900).contains(&begun), "{begun} reads in 8 s");
}

/// Reads must not be retried at the same rate while the platform rejects them.
#[test]
fn failed_reads_are_retried_with_backoff() {
    let (failing, succeeding) = (reads(20, 12_000, false), reads(20, 12_000, true));
    assert!(3 * failing < succeeding, "{failing} and {succeeding}");
}

/// An entry of a small fleet must not learn late that an instance is leaving: work has to end
/// within 3 s after the list shows it.
#[test]
fn entry_of_a_small_fleet_reads_at_once() {
    let mut reads = ListReads::default();
    assert!(reads.begin(26, 999, 5_000));
    reads.end(true);
    assert!(!reads.begin(26, 999, 5_600));
    assert!(reads.begin(26, 999, 5_700));
    reads.end(true);
    // Control sends the list again, and is lost once more.
    reads.list_received();
    assert!(reads.begin(26, 999, 5_800));
}
