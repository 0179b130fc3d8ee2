//! Cost per role at the design size.

use super::size::{
    CHANGES_PER_DAY, COMMANDS_PER_S, CONTROL_BYTES_PER_S_LIMIT, CONTROL_CORE_LIMIT,
    CONTROL_INSTANCES, CONTROL_MEMORY_LIMIT_BYTES, DAEMONS, KEPT_WINDOW_S, KEYED_PART,
    OPEN_STREAMS, REQUESTS_PER_S, SECONDS_PER_DAY, TABLE_ROWS, TOKENS_PER_S, WATCHERS,
};
use super::slopes::Slopes;
use super::table::{Line, Unit, grow, number, with_base, write_table};

/// Appends a table for each role.
pub(super) fn write_roles(text: &mut String, slopes: &Slopes, entries: f64) {
    write_table(text, "Entry, each", &entry(entries), slopes);
    write_table(text, "Sidecar, each", &sidecar(entries), slopes);
    write_table(
        text,
        "Control, the leader; followers cost less",
        &control(),
        slopes,
    );
    write_table(
        text,
        "Subscription to control, each daemon",
        &subscriber(),
        slopes,
    );
    write_table(text, "Relay, beyond its own subscription", &relay(), slopes);
}

fn divided(amount: f64, what: &str, by: f64) -> String {
    format!(
        "{} {what} ({} / {})",
        number(amount / by),
        number(amount),
        number(by)
    )
}

/// Returns the messages between one process and its peers, each as an amount and its arithmetic.
fn messages(pairs: (f64, &str), requests: (f64, &str)) -> Line {
    let terms = vec![
        grow("poll_messages", pairs.0, pairs.1),
        grow("entry_request_messages", requests.0, requests.1),
    ];
    Line::new("messages/s", Unit::PerS, terms)
}

/// Returns the bytes between one process and its peers.
fn bytes(what: &'static str, tokens: (f64, &str), requests: (f64, &str)) -> Line {
    let terms = vec![
        grow("entry_token_bytes", tokens.0, tokens.1),
        grow("entry_request_bytes", requests.0, requests.1),
    ];
    Line::new(what, Unit::BytesPerS, terms)
}

fn entry(entries: f64) -> Vec<Line> {
    let streams = divided(OPEN_STREAMS, "streams", entries);
    let tokens = divided(TOKENS_PER_S, "tokens/s", entries);
    let requests = divided(REQUESTS_PER_S, "requests/s", entries);
    let pairs = format!("{} sidecars", number(DAEMONS));
    let requests_per_s = REQUESTS_PER_S / entries;
    let tokens_per_s = TOKENS_PER_S / entries;
    let memory = with_base("entry_stream_memory", OPEN_STREAMS / entries, &streams);
    vec![
        Line::new(
            "state",
            Unit::Bytes,
            vec![grow(
                "entry_stream_memory",
                OPEN_STREAMS / entries,
                &streams,
            )],
        ),
        messages((DAEMONS, &pairs), (requests_per_s, &requests)),
        bytes(
            "bytes/s to and from sidecars",
            (tokens_per_s, &tokens),
            (requests_per_s, &requests),
        ),
        Line::new(
            "CPU",
            Unit::Core,
            vec![
                grow("entry_token_cpu", tokens_per_s, &tokens),
                grow("entry_request_cpu", requests_per_s, &requests),
            ],
        ),
        Line::new("memory", Unit::Bytes, vec![memory]),
    ]
}

fn sidecar(entries: f64) -> Vec<Line> {
    let streams = divided(OPEN_STREAMS, "streams", DAEMONS);
    let tokens = divided(TOKENS_PER_S, "tokens/s", DAEMONS);
    let requests = divided(REQUESTS_PER_S, "requests/s", DAEMONS);
    let pairs = format!("{} entries", number(entries));
    let requests_per_s = REQUESTS_PER_S / DAEMONS;
    let tokens_per_s = TOKENS_PER_S / DAEMONS;
    let streams_each = OPEN_STREAMS / DAEMONS;
    vec![
        Line::new(
            "state",
            Unit::Bytes,
            vec![grow("sidecar_stream_memory", streams_each, &streams)],
        ),
        messages((entries, &pairs), (requests_per_s, &requests)),
        bytes(
            "bytes/s to and from entries",
            (tokens_per_s, &tokens),
            (requests_per_s, &requests),
        ),
        Line::new(
            "CPU",
            Unit::Core,
            vec![
                grow("sidecar_token_cpu", tokens_per_s, &tokens),
                grow("sidecar_request_cpu", requests_per_s, &requests),
            ],
        ),
        Line::new(
            "memory",
            Unit::Bytes,
            vec![with_base("sidecar_stream_memory", streams_each, &streams)],
        ),
    ]
}

fn control() -> Vec<Line> {
    let rows = format!("{} rows", number(TABLE_ROWS));
    let commands = format!("{} commands/s", number(COMMANDS_PER_S));
    let claims_kept = REQUESTS_PER_S * KEYED_PART * KEPT_WINDOW_S;
    let claims = format!(
        "{} claims ({} × {KEYED_PART} × {KEPT_WINDOW_S} s)",
        number(claims_kept),
        number(REQUESTS_PER_S)
    );
    let followers = CONTROL_INSTANCES - 1.0;
    let copies = format!(
        "{} commands/s × {followers} followers",
        number(COMMANDS_PER_S)
    );
    let state = |rows_term| {
        vec![
            rows_term,
            grow("control_claim_memory", claims_kept, &claims),
        ]
    };
    vec![
        Line::new(
            "state",
            Unit::Bytes,
            state(grow("control_row_memory", TABLE_ROWS, &rows)),
        ),
        Line::new(
            "bytes/s to followers",
            Unit::BytesPerS,
            vec![grow(
                "control_command_bytes",
                COMMANDS_PER_S * followers,
                &copies,
            )],
        ),
        Line::new("bytes/s to watchers", Unit::BytesPerS, watcher_bytes()),
        Line::new(
            "CPU",
            Unit::Core,
            vec![grow("control_command_cpu", COMMANDS_PER_S, &commands)],
        ),
        Line::new(
            "memory",
            Unit::Bytes,
            state(with_base("control_row_memory", TABLE_ROWS, &rows)),
        ),
    ]
}

fn subscriber() -> Vec<Line> {
    let changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let changes = divided(CHANGES_PER_DAY, "changes/s", SECONDS_PER_DAY);
    let rows = format!("{} rows", number(TABLE_ROWS));
    vec![
        Line::new(
            "memory",
            Unit::Bytes,
            vec![with_base("subscriber_row_memory", TABLE_ROWS, &rows)],
        )
        .limit(CONTROL_MEMORY_LIMIT_BYTES),
        Line::new(
            "bytes/s",
            Unit::BytesPerS,
            vec![
                grow("subscriber_idle_bytes", 1.0, "1 s"),
                grow("subscriber_change_bytes", changes_per_s, &changes),
            ],
        )
        .limit(CONTROL_BYTES_PER_S_LIMIT),
        Line::new(
            "CPU",
            Unit::Core,
            vec![
                grow("subscriber_idle_cpu", 1.0, "1 s"),
                grow("subscriber_change_cpu", changes_per_s, &changes),
            ],
        )
        .limit(CONTROL_CORE_LIMIT),
    ]
}

fn relay() -> Vec<Line> {
    let changes_per_s = WATCHERS * CHANGES_PER_DAY / SECONDS_PER_DAY;
    let changes = format!(
        "{WATCHERS} watchers × {} changes/s",
        number(CHANGES_PER_DAY / SECONDS_PER_DAY)
    );
    let idle = format!("{WATCHERS} watchers × 1 s");
    vec![
        Line::new("bytes/s to watchers", Unit::BytesPerS, watcher_bytes()),
        Line::new(
            "CPU, as much per watcher as the watcher itself",
            Unit::Core,
            vec![
                grow("subscriber_idle_cpu", WATCHERS, &idle),
                grow("subscriber_change_cpu", changes_per_s, &changes),
            ],
        ),
    ]
}

fn watcher_bytes() -> Vec<super::table::Term> {
    let changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let idle = format!("{WATCHERS} watchers × 1 s");
    let changes = format!("{WATCHERS} watchers × {} changes/s", number(changes_per_s));
    vec![
        grow("subscriber_idle_bytes", WATCHERS, &idle),
        grow(
            "subscriber_change_bytes",
            WATCHERS * changes_per_s,
            &changes,
        ),
    ]
}
