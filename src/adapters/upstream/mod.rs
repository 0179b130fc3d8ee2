//! HTTP clients of engines and plain services.
