//! The size that the system is designed for, and what is assumed where it is silent.

/// Daemons beside the replicas.
pub const DAEMONS: f64 = 400.0;
pub const REPLICAS: f64 = 2_700.0;
pub const ACCELERATORS: f64 = 5_300.0;
pub const REGIONS: f64 = 4.0;
pub const ZONES: f64 = 10.0;
/// Peak load of the whole fleet.
pub const REQUESTS_PER_S: f64 = 3_600.0;
pub const TOKENS_PER_S: f64 = 1_600_000.0;
/// Targets for 95 in 100.
pub const FIRST_TOKEN_MS: f64 = 1_200.0;
pub const BETWEEN_TOKENS_MS: f64 = 72.0;
pub const WORKSPACES: f64 = 20_000.0;
pub const MODELS: f64 = 13.0;
pub const CHANGES_PER_DAY: f64 = 12_000.0;
pub const IN_FORCE_S: f64 = 12.0;
/// What a daemon may spend on control.
pub const CONTROL_CORE_LIMIT: f64 = 0.039;
pub const CONTROL_MEMORY_LIMIT_BYTES: f64 = 32e6;
pub const CONTROL_BYTES_PER_S_LIMIT: f64 = 2_000.0;
/// Instances set aside for control.
pub const CONTROL_INSTANCES: f64 = 9.0;
pub const FAILURES_PER_DAY: f64 = 33.0;
pub const RESTARTS_PER_DAY: f64 = 540.0;

pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Watchers that a process serves before it redirects to a relay.
pub const WATCHERS: f64 = 32.0;
/// Time for which claims are kept.
pub const KEPT_WINDOW_S: f64 = 600.0;

/// Assumed: rows per workspace besides its own, for kinds that differ from the shared ones.
pub const KIND_ROWS_PER_WORKSPACE: f64 = 1.0;
/// Assumed: part of the requests that carry an idempotency key, as in the tyre mix.
pub const KEYED_PART: f64 = 0.25;
/// Commands of a keyed request: claim and finish.
pub const COMMANDS_PER_KEYED: f64 = 2.0;
/// Commands of a lost instance: gone, and the register of its replacement.
pub const COMMANDS_PER_FAILURE: f64 = 2.0;
/// Commands of a planned restart: leaving, gone and register.
pub const COMMANDS_PER_RESTART: f64 = 3.0;
/// Assumed: time that regions are apart.
pub const APART_S: f64 = 600.0;

/// Streams open at once: each open stream gets a token every `BETWEEN_TOKENS_MS`.
pub const OPEN_STREAMS: f64 = TOKENS_PER_S * BETWEEN_TOKENS_MS / 1_000.0;
/// Rows of the table at design size.
pub const TABLE_ROWS: f64 = WORKSPACES * (1.0 + KIND_ROWS_PER_WORKSPACE) + MODELS;
/// Commands of the replicated log per second.
pub const COMMANDS_PER_S: f64 = (CHANGES_PER_DAY
    + FAILURES_PER_DAY * COMMANDS_PER_FAILURE
    + RESTARTS_PER_DAY * COMMANDS_PER_RESTART)
    / SECONDS_PER_DAY
    + REQUESTS_PER_S * KEYED_PART * COMMANDS_PER_KEYED;
