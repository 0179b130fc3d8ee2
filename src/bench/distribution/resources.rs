//! CPU time and memory of processes, read from `/proc`.

use std::fs;

/// The unit of CPU times in `/proc/<pid>/stat`, which is fixed in the interface of Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time that all threads of this process have used, in seconds.
pub(super) fn cpu_seconds() -> f64 {
    cpu_seconds_of("self")
}

/// Returns the CPU time of the process with this id, in seconds, or 0 if there is none.
pub(in crate::bench) fn cpu_seconds_of(pid: &str) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command name in field 2 may contain spaces; user and system time are fields 14 and 15.
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of this process in kilobytes.
pub(super) fn resident_kb() -> f64 {
    resident_kb_of("self")
}

/// Returns the resident memory of the process with this id in kilobytes, or 0 if there is none.
pub(in crate::bench) fn resident_kb_of(pid: &str) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
