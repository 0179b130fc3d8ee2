//! The command `lilacspindled standalone`, the first one in the README.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Time-out for the first rows; the program itself gives up after 20 s.
const FIRST_ROWS_TIMEOUT: Duration = Duration::from_secs(30);

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Guards against a standalone process without its first rows. Its only control instance has no
/// peers configured and has to form a cluster alone, and the first edit is refused until a replica
/// has reported its model version.
#[test]
fn standalone_process_creates_its_first_rows() {
    let folder = std::env::temp_dir().join(format!("lilac-standalone-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let log = folder.join("log");
    let output = std::fs::File::create(&log).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_lilacspindled"));
    command
        .arg("standalone")
        .arg("--data-folder")
        .arg(folder.join("data"));
    for name in ["entry", "admin", "engine", "service"] {
        command.arg(format!("--{name}-address")).arg(free_address());
    }
    let mut child = command.stdout(Stdio::from(output)).spawn().unwrap();
    let deadline = Instant::now() + FIRST_ROWS_TIMEOUT;
    let has_rows = || {
        std::fs::read_to_string(&log)
            .unwrap()
            .contains("the table has its first rows")
    };
    while !has_rows() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    let found = has_rows();
    child.kill().unwrap();
    child.wait().unwrap();
    let text = std::fs::read_to_string(&log).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(found, "{text}");
}
