//! Choice of the replica for a request.
