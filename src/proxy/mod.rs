//! A TCP proxy that injects faults, for tests.
