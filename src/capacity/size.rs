//! The design size of the fleet, and assumptions about load that the design size leaves open.

/// Daemons with the sidecar role, which run beside the replicas.
pub const DAEMONS: f64 = 400.0;
pub const REPLICAS: f64 = 2_700.0;
pub const ACCELERATORS: f64 = 5_300.0;
pub const REGIONS: f64 = 4.0;
pub const ZONES: f64 = 10.0;
/// Requests of the whole fleet at peak load.
pub const REQUESTS_PER_S: f64 = 3_600.0;
/// Output tokens of the whole fleet at peak load.
pub const TOKENS_PER_S: f64 = 1_600_000.0;
/// Target of the 95th percentile of the time to the first token.
pub const FIRST_TOKEN_P95_MS: f64 = 1_200.0;
/// Target of the 95th percentile of the time between tokens.
pub const INTER_TOKEN_P95_MS: f64 = 72.0;
pub const WORKSPACES: f64 = 20_000.0;
pub const MODELS: f64 = 13.0;
/// Changes of the configuration table.
pub const CHANGES_PER_DAY: f64 = 12_000.0;
/// Time within which an accepted change must be in force everywhere. With the default
/// `stale_policy`, a process whose table has not been confirmed as current for this time refuses
/// new work.
pub const IN_FORCE_LIMIT_S: f64 = 12.0;
/// Upper limit on the CPU that a daemon spends on control, as a fraction of a core.
pub const CONTROL_CORE_LIMIT: f64 = 0.039;
pub const CONTROL_MEMORY_LIMIT_BYTES: f64 = 32e6;
pub const CONTROL_BYTES_PER_S_LIMIT: f64 = 2_000.0;
/// Upper limit on the instances set aside for control. The tables count one leader, and the rest
/// as followers.
pub const CONTROL_INSTANCES: f64 = 9.0;
/// Instances that fail on an ordinary day.
pub const FAILURES_PER_DAY: f64 = 33.0;
/// Instances that are restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 540.0;

pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Watchers that a process serves before it redirects further ones to a relay.
pub const WATCHERS_PER_PROCESS: f64 = 32.0;
/// Retention period of idempotency keys: the time for which claims are kept.
pub const KEY_RETENTION_S: f64 = 600.0;

/// Assumption: table rows of a workspace's own kinds, in addition to the workspace row. A workspace
/// has a row only for kinds that differ from the shared ones.
pub const KIND_ROWS_PER_WORKSPACE: f64 = 1.0;
/// Assumption: fraction of the requests that carry an idempotency key. Equals the fraction of
/// non-repeatable requests in the `atlas` mix of the load tool.
pub const KEYED_FRACTION: f64 = 0.25;
/// Log commands of a request with an idempotency key: claim and finish.
pub const COMMANDS_PER_KEYED_REQUEST: f64 = 2.0;
/// Log commands of a failed instance: phase `Gone`, and the registration of its replacement.
pub const COMMANDS_PER_FAILURE: f64 = 2.0;
/// Log commands of a planned restart: phase `Leaving`, phase `Gone` and registration.
pub const COMMANDS_PER_RESTART: f64 = 3.0;
/// Assumption: duration of a network partition between regions.
pub const PARTITION_S: f64 = 600.0;

/// Streams open at once, if each receives a token every `INTER_TOKEN_P95_MS`.
pub const OPEN_STREAMS: f64 = TOKENS_PER_S * INTER_TOKEN_P95_MS / 1_000.0;
/// Rows of the configuration table.
pub const TABLE_ROWS: f64 = WORKSPACES * (1.0 + KIND_ROWS_PER_WORKSPACE) + MODELS;
/// Commands of the replicated log per second.
pub const COMMANDS_PER_S: f64 = (CHANGES_PER_DAY
    + FAILURES_PER_DAY * COMMANDS_PER_FAILURE
    + RESTARTS_PER_DAY * COMMANDS_PER_RESTART)
    / SECONDS_PER_DAY
    + REQUESTS_PER_S * KEYED_FRACTION * COMMANDS_PER_KEYED_REQUEST;
