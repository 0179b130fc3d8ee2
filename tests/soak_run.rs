//! A short soak run with real processes.

use std::path::PathBuf;

use lilacspindle::soak::{self, CallEnd, Environment, FaultKind, Plan, PlanKind, Size};

/// Guards against a soak that judges a site that serves nothing, and against broken promises under
/// planned stops of entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_run_keeps_all_promises() {
    let size = Size::draw(1, 35, Some(4), Some(3));
    let plan = Plan::draw(1, PlanKind::Stops, size);
    let folder = std::env::temp_dir().join(format!("lilac-soak-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let environment = Environment {
        folder: folder.clone(),
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_lilacspindled")),
        busy_threads: 0,
    };
    let history = soak::run(&plan, &environment).await.unwrap();
    let violations = soak::check(&history);
    let summary = soak::summary(&plan, &history, &violations);
    soak::write(&folder, &plan, &history, &summary).unwrap();
    let kept = folder.display();
    assert!(violations.is_empty(), "kept in {kept}\n{summary}");
    assert!(
        history.unexpected_exits.is_empty(),
        "kept in {kept}\n{summary}"
    );
    let complete = |is_stream: bool| {
        let calls = history.calls.iter();
        calls
            .filter(|call| call.is_stream == is_stream && call.status == Some(200))
            .filter(|call| call.end == CallEnd::Complete && call.is_own_body && call.is_sealed)
            .count()
    };
    assert!(complete(true) >= 20, "{summary}");
    assert!(complete(false) >= 20, "{summary}");
    let stops = history.faults.iter();
    let stops = stops.filter(|fault| fault.kind == FaultKind::Terminate);
    assert!(stops.count() >= 2, "{summary}");
    std::fs::remove_dir_all(&folder).unwrap();
}
