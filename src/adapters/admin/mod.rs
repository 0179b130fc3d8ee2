//! HTTP routes for metrics, health and readiness.

use rocket::http::{ContentType, Status};
use rocket::{Route, State, get, routes};

use crate::adapters::telemetry::render_metrics;

/// Checks whether this process should receive new work; the error is the reason why not.
pub struct Readiness(pub Box<dyn Fn() -> Result<(), String> + Send + Sync>);

/// Returns the routes `/metrics`, `/healthz` and `/readyz`. They need a [`Readiness`] in Rocket's
/// managed state.
pub fn admin_routes() -> Vec<Route> {
    routes![metrics, health, ready]
}

#[get("/metrics")]
fn metrics() -> (ContentType, String) {
    (ContentType::Plain, render_metrics())
}

#[get("/healthz")]
fn health() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn ready(readiness: &State<Readiness>) -> (Status, String) {
    match (readiness.0)() {
        Ok(()) => (Status::Ok, "ready\n".to_owned()),
        Err(reason) => (Status::ServiceUnavailable, format!("{reason}\n")),
    }
}
