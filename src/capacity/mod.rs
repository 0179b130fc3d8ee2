//! Capacity tables from measured slopes.
