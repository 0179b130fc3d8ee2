//! The token log of one generation.
