//! The sidecar role: the only way to its upstreams.
