//! A short run of the replicated log's benchmark. The full benchmark is `lilacspindle bench log`.

use lilacspindle::bench::log::{LogOptions, Report, run};

fn run_in_temp_folder(mut options: LogOptions) -> Report {
    let folder_name = format!(
        "lilac-bench-{}-{:016x}",
        std::process::id(),
        rand::random::<u64>()
    );
    options.folder = std::env::temp_dir().join(folder_name);
    let report = run(&options);
    let _ = std::fs::remove_dir_all(&options.folder);
    let report = report.unwrap();
    println!("{report}\n{}", serde_json::to_string(&report).unwrap());
    report
}

fn check_report(report: &Report) {
    assert_eq!((report.failover.failed, report.restart.failed), (0, 0));
    // The target for the failover of control, see docs/design.md.
    assert!(report.failover.max_ms < 5_000.0, "{report}");
    let rows = &report.throughput;
    assert!(
        rows.iter().all(|row| row.commands_per_second > 0.0),
        "{report}"
    );
}

fn full_options() -> LogOptions {
    LogOptions {
        folder: std::path::PathBuf::new(),
        voters: vec![3, 5],
        clients: vec![1, 16, 256],
        duration_s: 5,
        command_bytes: 128,
        kills: 30,
        restart_commands: 10_000,
        election_ms: 1_000,
        snapshot_entries: 4_096,
    }
}

/// Guards against a failover that takes 5 s or more, and against a benchmark that fails to run.
#[test]
fn short_benchmark_meets_the_failover_target() {
    let short = LogOptions {
        clients: vec![4],
        voters: vec![3],
        duration_s: 1,
        kills: 3,
        restart_commands: 500,
        ..full_options()
    };
    check_report(&run_in_temp_folder(short));
}
