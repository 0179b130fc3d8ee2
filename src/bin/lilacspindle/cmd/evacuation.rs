//! `evacuation`: starts, finishes and lists the evacuations of availability zones, at the operators'
//! addresses of control instances of a site.

use std::time::{Duration, Instant};

use lilacspindle::roles::control::operator_api::ClientError;
use lilacspindle::roles::directory::EVACUATIONS;
use reqwest::{Method, StatusCode, Url, redirect};
use serde_json::Value;
use tokio::time::sleep;

use super::{Exit, control_addresses, print_error, print_json};
use crate::cli::{EvacuationCommand, Options};

/// Timeout of one attempt; control answers within 0.9 s.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next control instance is tried. An election takes about a second.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// An instance without a log may name one that has just lost the leadership.
const MAX_REDIRECTS: usize = 2;

pub async fn run(options: &Options, command: &EvacuationCommand) -> Exit {
    let (method, zone) = match command {
        EvacuationCommand::Start { zone } => (Method::PUT, Some(zone)),
        EvacuationCommand::Finish { zone } => (Method::DELETE, Some(zone)),
        EvacuationCommand::List => (Method::GET, None),
    };
    match call(options, &method, zone.map(String::as_str)).await {
        Ok(answer) => print_answer(options, command, &answer),
        Err(Failure::Refused(reason)) => {
            eprintln!("lilacspindle: {}", reason.trim_end());
            return Exit::Refused;
        }
        Err(Failure::Other(error)) => return print_error(options, &error),
    }
    Exit::Ok
}

enum Failure {
    /// Control has rejected the call; repeating it is of no use.
    Refused(String),
    Other(ClientError),
}

/// Calls one control instance after the other until one answers. Repeating a call does no harm, since
/// an order that is in force already changes nothing.
async fn call(options: &Options, method: &Method, zone: Option<&str>) -> Result<Value, Failure> {
    let usage = |reason: String| Failure::Other(ClientError::Usage(reason));
    let urls = control_addresses(options);
    let urls: Result<Vec<Url>, String> = urls.iter().map(|base| url(base, zone)).collect();
    let urls = urls.map_err(usage)?;
    if urls.is_empty() {
        let reason = "no control address; give --control or set LILAC_CONTROL";
        return Err(usage(reason.to_owned()));
    }
    let http = reqwest::Client::builder()
        .timeout(ATTEMPT_TIMEOUT)
        .redirect(redirect::Policy::limited(MAX_REDIRECTS))
        .no_proxy()
        .build()
        .map_err(|error| usage(format!("cannot make an HTTP client: {error}")))?;
    let deadline = Instant::now() + Duration::from_millis(options.limit_ms);
    let (mut may_be_in_force, mut last_error) = (false, String::new());
    for url in urls.iter().cycle() {
        match http.request(method.clone(), url.clone()).send().await {
            Ok(response) => {
                let status = response.status();
                let text = response.text().await.unwrap_or_default();
                match status {
                    StatusCode::OK => match serde_json::from_str(&text) {
                        Ok(answer) => return Ok(answer),
                        Err(error) => last_error = format!("{url}: {error}"),
                    },
                    StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => {
                        last_error = format!("{url}: {status}");
                    }
                    status if status.is_client_error() => return Err(Failure::Refused(text)),
                    _ => last_error = format!("{url}: {}", text.trim_end()),
                }
                may_be_in_force = true;
            }
            Err(error) => {
                may_be_in_force |= !error.is_connect();
                last_error = format!("{url}: {error}");
            }
        }
        if Instant::now() + RETRY_DELAY >= deadline {
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    Err(Failure::Other(match may_be_in_force && zone.is_some() {
        true => ClientError::Undecided(last_error),
        false => ClientError::Unreachable(last_error),
    }))
}

/// Returns the URL of a zone, or of the list, at a control instance.
fn url(base: &str, zone: Option<&str>) -> Result<Url, String> {
    let base = base.trim().trim_end_matches('/');
    let base = match base.contains("://") {
        true => base.to_owned(),
        false => format!("http://{base}"),
    };
    let mut url =
        Url::parse(&format!("{base}{EVACUATIONS}")).map_err(|error| format!("{base}: {error}"))?;
    if let (Some(zone), Ok(mut segments)) = (zone, url.path_segments_mut()) {
        segments.push(zone);
    }
    Ok(url)
}

fn print_answer(options: &Options, command: &EvacuationCommand, answer: &Value) {
    if options.json {
        return print_json(answer);
    }
    let revision = &answer["revision"];
    let zones = |key: &str| {
        let zones = answer[key].as_array().into_iter().flatten();
        let zones: Vec<&str> = zones.filter_map(Value::as_str).collect();
        zones.join(", ")
    };
    let note = match answer["changed"] == Value::Bool(false) {
        true => " already",
        false => "",
    };
    match command {
        EvacuationCommand::Start { zone } => {
            print_line!("zone {zone} is{note} evacuated (revision {revision})");
        }
        EvacuationCommand::Finish { zone } => {
            print_line!("zone {zone} is{note} in use (revision {revision})");
        }
        EvacuationCommand::List => {
            print_line!("evacuated: {}", zones("evacuated"));
            print_line!("known: {}", zones("known"));
            print_line!("revision: {revision}");
        }
    }
}
