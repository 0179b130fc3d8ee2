//! Estimates of output length.
