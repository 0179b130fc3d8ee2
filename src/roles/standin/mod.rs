//! Stand-ins for a model engine and a plain service.
