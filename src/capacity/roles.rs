//! Cost of each role at the design size.

use super::size::{
    CHANGES_PER_DAY, COMMANDS_PER_S, CONTROL_BYTES_PER_S_LIMIT, CONTROL_CORE_LIMIT,
    CONTROL_INSTANCES, CONTROL_MEMORY_LIMIT_BYTES, DAEMONS, KEY_RETENTION_S, KEYED_FRACTION,
    OPEN_STREAMS, REQUESTS_PER_S, SECONDS_PER_DAY, TABLE_ROWS, TOKENS_PER_S, WATCHERS_PER_PROCESS,
};
use super::slopes::Slopes;
use super::table::{CostRow, Unit, format_number, total_cost, variable_cost, write_table};

/// Appends a table for each role and for the subscription to control.
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

/// Returns a quotient with its unit and its derivation, such as `225 requests/s (3,600 / 16)`.
fn quotient(amount: f64, unit: &str, divisor: f64) -> String {
    format!(
        "{} {unit} ({} / {})",
        format_number(amount / divisor),
        format_number(amount),
        format_number(divisor)
    )
}

/// Returns the messages between one process and its peers. Each parameter is an amount and its text
/// for the arithmetic column.
fn messages(peers: (f64, &str), requests: (f64, &str)) -> CostRow {
    let terms = vec![
        variable_cost("poll_messages", peers.0, peers.1),
        variable_cost("entry_request_messages", requests.0, requests.1),
    ];
    CostRow::new("messages/s", Unit::PerSecond, terms)
}

/// Returns the bytes between one process and its peers; parameters as in `messages`.
fn bytes(label: &'static str, tokens: (f64, &str), requests: (f64, &str)) -> CostRow {
    let terms = vec![
        variable_cost("entry_token_bytes", tokens.0, tokens.1),
        variable_cost("entry_request_bytes", requests.0, requests.1),
    ];
    CostRow::new(label, Unit::BytesPerSecond, terms)
}

fn entry(entries: f64) -> Vec<CostRow> {
    let streams = quotient(OPEN_STREAMS, "streams", entries);
    let tokens = quotient(TOKENS_PER_S, "tokens/s", entries);
    let requests = quotient(REQUESTS_PER_S, "requests/s", entries);
    let peers = format!("{} sidecars", format_number(DAEMONS));
    let requests_per_s = REQUESTS_PER_S / entries;
    let tokens_per_s = TOKENS_PER_S / entries;
    let memory = total_cost("entry_stream_memory", OPEN_STREAMS / entries, &streams);
    vec![
        CostRow::new(
            "state",
            Unit::Bytes,
            vec![variable_cost(
                "entry_stream_memory",
                OPEN_STREAMS / entries,
                &streams,
            )],
        ),
        messages((DAEMONS, &peers), (requests_per_s, &requests)),
        bytes(
            "bytes/s to and from sidecars",
            (tokens_per_s, &tokens),
            (requests_per_s, &requests),
        ),
        CostRow::new(
            "CPU",
            Unit::Core,
            vec![
                variable_cost("entry_token_cpu", tokens_per_s, &tokens),
                variable_cost("entry_request_cpu", requests_per_s, &requests),
            ],
        ),
        CostRow::new("memory", Unit::Bytes, vec![memory]),
    ]
}

fn sidecar(entries: f64) -> Vec<CostRow> {
    let streams = quotient(OPEN_STREAMS, "streams", DAEMONS);
    let tokens = quotient(TOKENS_PER_S, "tokens/s", DAEMONS);
    let requests = quotient(REQUESTS_PER_S, "requests/s", DAEMONS);
    let peers = format!("{} entries", format_number(entries));
    let requests_per_s = REQUESTS_PER_S / DAEMONS;
    let tokens_per_s = TOKENS_PER_S / DAEMONS;
    let streams_each = OPEN_STREAMS / DAEMONS;
    vec![
        CostRow::new(
            "state",
            Unit::Bytes,
            vec![variable_cost(
                "sidecar_stream_memory",
                streams_each,
                &streams,
            )],
        ),
        messages((entries, &peers), (requests_per_s, &requests)),
        bytes(
            "bytes/s to and from entries",
            (tokens_per_s, &tokens),
            (requests_per_s, &requests),
        ),
        CostRow::new(
            "CPU",
            Unit::Core,
            vec![
                variable_cost("sidecar_token_cpu", tokens_per_s, &tokens),
                variable_cost("sidecar_request_cpu", requests_per_s, &requests),
            ],
        ),
        CostRow::new(
            "memory",
            Unit::Bytes,
            vec![total_cost("sidecar_stream_memory", streams_each, &streams)],
        ),
    ]
}

fn control() -> Vec<CostRow> {
    let rows = format!("{} rows", format_number(TABLE_ROWS));
    let commands = format!("{} commands/s", format_number(COMMANDS_PER_S));
    let claims_kept = REQUESTS_PER_S * KEYED_FRACTION * KEY_RETENTION_S;
    let claims = format!(
        "{} claims ({} × {KEYED_FRACTION} × {KEY_RETENTION_S} s)",
        format_number(claims_kept),
        format_number(REQUESTS_PER_S)
    );
    let followers = CONTROL_INSTANCES - 1.0;
    let copies = format!(
        "{} commands/s × {followers} followers",
        format_number(COMMANDS_PER_S)
    );
    let state_terms = |rows_term| {
        vec![
            rows_term,
            variable_cost("control_claim_memory", claims_kept, &claims),
        ]
    };
    vec![
        CostRow::new(
            "state",
            Unit::Bytes,
            state_terms(variable_cost("control_row_memory", TABLE_ROWS, &rows)),
        ),
        CostRow::new(
            "bytes/s to followers",
            Unit::BytesPerSecond,
            vec![variable_cost(
                "control_command_bytes",
                COMMANDS_PER_S * followers,
                &copies,
            )],
        ),
        CostRow::new("bytes/s to watchers", Unit::BytesPerSecond, watcher_bytes()),
        CostRow::new(
            "CPU",
            Unit::Core,
            vec![variable_cost(
                "control_command_cpu",
                COMMANDS_PER_S,
                &commands,
            )],
        ),
        CostRow::new(
            "memory",
            Unit::Bytes,
            state_terms(total_cost("control_row_memory", TABLE_ROWS, &rows)),
        ),
    ]
}

fn subscriber() -> Vec<CostRow> {
    let changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let changes = quotient(CHANGES_PER_DAY, "changes/s", SECONDS_PER_DAY);
    let rows = format!("{} rows", format_number(TABLE_ROWS));
    vec![
        CostRow::new(
            "memory",
            Unit::Bytes,
            vec![total_cost("subscriber_row_memory", TABLE_ROWS, &rows)],
        )
        .limit(CONTROL_MEMORY_LIMIT_BYTES),
        CostRow::new(
            "bytes/s",
            Unit::BytesPerSecond,
            vec![
                variable_cost("subscriber_idle_bytes", 1.0, "1 s"),
                variable_cost("subscriber_change_bytes", changes_per_s, &changes),
            ],
        )
        .limit(CONTROL_BYTES_PER_S_LIMIT),
        CostRow::new(
            "CPU",
            Unit::Core,
            vec![
                variable_cost("subscriber_idle_cpu", 1.0, "1 s"),
                variable_cost("subscriber_change_cpu", changes_per_s, &changes),
            ],
        )
        .limit(CONTROL_CORE_LIMIT),
    ]
}

fn relay() -> Vec<CostRow> {
    let changes_per_s = WATCHERS_PER_PROCESS * CHANGES_PER_DAY / SECONDS_PER_DAY;
    let changes = format!(
        "{WATCHERS_PER_PROCESS} watchers × {} changes/s",
        format_number(CHANGES_PER_DAY / SECONDS_PER_DAY)
    );
    let idle = format!("{WATCHERS_PER_PROCESS} watchers × 1 s");
    vec![
        CostRow::new("bytes/s to watchers", Unit::BytesPerSecond, watcher_bytes()),
        CostRow::new(
            "CPU, as much per watcher as the watcher itself",
            Unit::Core,
            vec![
                variable_cost("subscriber_idle_cpu", WATCHERS_PER_PROCESS, &idle),
                variable_cost("subscriber_change_cpu", changes_per_s, &changes),
            ],
        ),
    ]
}

fn watcher_bytes() -> Vec<super::table::Term> {
    let changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let idle = format!("{WATCHERS_PER_PROCESS} watchers × 1 s");
    let changes = format!(
        "{WATCHERS_PER_PROCESS} watchers × {} changes/s",
        format_number(changes_per_s)
    );
    vec![
        variable_cost("subscriber_idle_bytes", WATCHERS_PER_PROCESS, &idle),
        variable_cost(
            "subscriber_change_bytes",
            WATCHERS_PER_PROCESS * changes_per_s,
            &changes,
        ),
    ]
}
