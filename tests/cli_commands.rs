//! The `lilacspindle` command line, run as a process against control instances in the test process.

mod api_support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};

use api_support::{Role, Shared, TOKEN, serve};
use lilacspindle::domain::table::{from_ini, to_ini};

const TABLE: &str = "\
[workspace/a]
weight = 3
max_tokens = 4000
[model/tutor]
version = 7b-1
[kind/*/hint]
lane = small
repeatable = true
deadline_ms = 2000
model = tutor
";

fn run(addresses: &[SocketAddr], arguments: &[&str]) -> Output {
    let urls: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    Command::new(env!("CARGO_BIN_EXE_lilacspindle"))
        .args(arguments)
        .args(["--limit-ms", "1500"])
        .env("LILAC_CONTROL", urls.join(","))
        .env("LILAC_TOKEN", TOKEN)
        .env("USER", "ann")
        .output()
        .unwrap()
}

fn expect(output: &Output, code: i32, texts: &[&str]) -> String {
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    let all = format!("{out}{err}");
    assert_eq!(output.status.code(), Some(code), "{all}");
    for text in texts {
        assert!(all.contains(text), "{text:?} is missing in:\n{all}");
    }
    assert!(!all.contains(TOKEN), "the token is printed:\n{all}");
    out.into_owned()
}

/// Guards against commands that do not have their documented effect, and against wrong exit codes.
#[test]
fn table_is_edited_from_the_command_line() {
    let shared = Shared::default();
    let leader = serve(&shared, &Role::Leader);
    let follower = serve(&shared, &Role::Follower(Some(leader)));
    let file = std::env::temp_dir().join(format!("lilac-table-{}.ini", std::process::id()));
    std::fs::write(&file, TABLE).unwrap();
    let path = file.to_str().unwrap();
    // Only the follower's address is passed; its response redirects to the leader.
    let lilac = |arguments: &[&str]| run(&[follower], arguments);
    expect(
        &lilac(&["table", "apply", path, "--dry-run"]),
        0,
        &["+ weight = 3", "3 rows"],
    );
    expect(&lilac(&["table", "export"]), 0, &["version 0"]);
    expect(
        &lilac(&["table", "apply", path]),
        0,
        &["[kind/*/hint]", "accepted at version 1"],
    );
    expect(&lilac(&["table", "apply", path]), 0, &["no change"]);
    let set = ["table", "set", "workspace/a", "weight=5", "room_slots=2"];
    expect(
        &lilac(&set),
        0,
        &["- weight = 3", "+ weight = 5", "accepted at version 2"],
    );
    expect(
        &lilac(&["table", "get", "workspace/a", "--json"]),
        0,
        &["\"weight\": 5", "\"version\": 2"],
    );
    expect(
        &lilac(&["table", "get", "kind/*/hint"]),
        0,
        &["model = tutor"],
    );
    expect(
        &lilac(&["table", "get", "workspace"]),
        0,
        &["[workspace/a]"],
    );
    expect(&lilac(&["table", "get", "workspace/none"]), 1, &["no row"]);
    let bad = [
        "table",
        "set",
        "workspace/b",
        "weight=0",
        "max_tokens=0",
        "colour=red",
    ];
    expect(&lilac(&bad), 1, &["workspace/b colour"]);
    let bad = ["table", "set", "workspace/b", "weight=0", "max_tokens=0"];
    expect(
        &lilac(&bad),
        1,
        &["workspace/b weight", "workspace/b max_tokens"],
    );
    expect(
        &lilac(&["table", "delete", "model/tutor"]),
        1,
        &["is used by kind/*/hint"],
    );
    expect(
        &lilac(&["table", "set", "nonsense", "x=1"]),
        2,
        &["expected workspace/<name>"],
    );
    expect(
        &lilac(&["table", "set", "workspace/a", "weight"]),
        2,
        &["expected name=value"],
    );
    expect(&lilac(&["table", "explode"]), 2, &[]);
    expect(
        &lilac(&["table", "delete", "kind/*/hint"]),
        0,
        &["accepted"],
    );
    let history = lilac(&["table", "history", "model/tutor", "--json"]);
    expect(
        &history,
        0,
        &[
            "is used by kind/*/hint",
            "\"author\": \"ann\"",
            "\"version\": 1",
        ],
    );
    expect(&lilac(&["drain", "nobody"]), 1, &["no instance \"nobody\""]);
    expect(&lilac(&["status"]), 0, &["role: \"test\""]);
    expect(&lilac(&["check", path]), 1, &["[instance] name"]);
    let exported = expect(&lilac(&["table", "export"]), 0, &[]);
    let rows = from_ini("export", &exported).unwrap();
    assert_eq!(from_ini("again", &to_ini(&rows)).unwrap(), rows);
    std::fs::remove_file(&file).unwrap();
}

/// Guards against an edit that is applied twice, or abandoned, after its response was lost.
#[test]
fn edit_with_a_lost_response_is_retried_with_the_same_id() {
    let shared = Shared::default();
    let leader = serve(&shared, &Role::Leader);
    let losing_responses = serve(&shared, &Role::Forgetful);
    let dropping = drop_post_responses(leader);
    let set = |weight: &str| {
        let weight = format!("weight={weight}");
        ["table", "set", "workspace/a", &weight, "max_tokens=9"].map(str::to_owned)
    };
    for (weight, lossy) in [("1", losing_responses), ("2", dropping)] {
        let arguments = set(weight);
        let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
        let before = shared.lock().unwrap().1;
        expect(
            &run(&[lossy, leader], &arguments),
            0,
            &["accepted at version"],
        );
        let (state, index) = &*shared.lock().unwrap();
        assert!(*index >= before + 2, "the edit was not sent again");
        let newest = state
            .edits()
            .audit
            .newest()
            .take(2)
            .map(|entry| entry.id.clone());
        let newest: Vec<_> = newest.collect();
        assert!(
            newest.len() < 2 || newest[0] != newest[1],
            "the edit was applied twice"
        );
    }
    assert_eq!(shared.lock().unwrap().0.edits().audit.newest().count(), 2);
    // The response never arrives: the edit is undecided, and a retry with the same id gets the
    // original result.
    let arguments = [
        "table",
        "set",
        "workspace/a",
        "weight=3",
        "--edit-id",
        "mine",
    ];
    expect(
        &run(&[losing_responses], &arguments),
        4,
        &["--edit-id mine"],
    );
    expect(&run(&[leader], &arguments), 0, &["version"]);
    assert_eq!(shared.lock().unwrap().0.edits().audit.newest().count(), 3);
}

/// Starts a proxy that forwards requests but closes the connection instead of returning the
/// response to a POST.
fn drop_post_responses(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for client in listener.incoming() {
            let client = client.unwrap();
            std::thread::spawn(move || relay_until_post(client, target));
        }
    });
    address
}

/// Relays one connection until the client closes it or sends a POST. Closing it after every
/// response could race with the client's next request on it, which would then not be forwarded.
fn relay_until_post(mut client: TcpStream, target: SocketAddr) {
    loop {
        let request = read_message(&mut client);
        if request.is_empty() {
            return;
        }
        let mut server = TcpStream::connect(target).unwrap();
        server.write_all(&request).unwrap();
        let answer = read_message(&mut server);
        if request.starts_with(b"POST") {
            return;
        }
        client.write_all(&answer).unwrap();
    }
}

/// Reads one HTTP message, whose body length is given by `content-length`.
fn read_message(stream: &mut TcpStream) -> Vec<u8> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = text[..head].split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.lines().next()).unwrap_or("0");
            if bytes.len() >= head + 4 + length.trim().parse::<usize>().unwrap() {
                return bytes;
            }
        }
        match stream.read(&mut buffer).unwrap() {
            0 => return bytes,
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Guards against exit codes that do not match the outcome of a command.
#[test]
fn exit_codes_distinguish_unreachable_undecided_and_refused() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let set = ["table", "set", "workspace/a", "weight=1", "max_tokens=9"];
    expect(&run(&[closed], &set), 3, &["no control instance answered"]);
    expect(&run(&[closed], &["table", "get"]), 3, &[]);
    expect(&run(&[closed], &["drain", "x"]), 3, &[]);
    expect(&run(&[closed], &["status"]), 3, &[]);
    expect(&run(&[], &["table", "get"]), 2, &["LILAC_CONTROL"]);
    let shared = Shared::default();
    let alone = serve(&shared, &Role::Follower(None));
    expect(&run(&[alone], &set), 3, &["another control instance leads"]);
    let leader = serve(&shared, &Role::Leader);
    expect(
        &run(&[drop_post_responses(leader)], &["drain", "x"]),
        4,
        &["undecided"],
    );
    let wrong = ["--token", "wrong-secret", "table", "get"];
    let text = expect(&run(&[leader], &wrong), 1, &["Authorization"]);
    assert!(!text.contains("wrong-secret"));
    let json = expect(
        &run(&[leader], &["table", "get", "limit/x", "--json"]),
        1,
        &[],
    );
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["error"], "not_found");
}
