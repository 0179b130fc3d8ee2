//! Tests the decoding of the platform's documents, lists, reports and headers.

mod site_support;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode};
use lilacspindle::domain::document::{Access, Index, Repeat};
use lilacspindle::domain::fleet::{AskedPause, ListedState, NamedLimit};
use lilacspindle::platform::{decode_document, decode_instances, decode_report, headers};
use quickcheck::quickcheck;
use serde_json::json;

use site_support::document;

/// Guards against settings of a document that are lost in decoding.
#[test]
fn document_is_decoded_completely() {
    let mut wire = document(7);
    wire["routes"][2]["trafficSplit"] =
        json!([{"service": "model", "weight": 90}, {"service": "plain", "weight": 10}]);
    let decoded = decode_document(wire.to_string().as_bytes()).unwrap();
    assert_eq!(decoded.version, 7);
    let kinds: Vec<Repeat> = decoded.routes.iter().map(|route| route.repeat).collect();
    assert_eq!(kinds, [Repeat::Once, Repeat::Safe, Repeat::Stream]);
    let stream = &decoded.routes[2];
    assert_eq!(
        (stream.timeout_ms, stream.target_ms, stream.gap_target_ms),
        (4_000, 1_000, Some(180))
    );
    assert_eq!(stream.shares.len(), 2);
    let engine = decoded.services[1].engine.unwrap();
    assert_eq!(
        (
            engine.memory_tokens,
            engine.bytes_per_token,
            engine.link_mbps
        ),
        (34_000, 163_840, 24_000)
    );
    assert_eq!(decoded.workspaces[1].keys.len(), 1);
}

/// Guards against a cold limit that is lost in decoding, or taken for one where 0 means none.
#[test]
fn cold_times_and_limits_are_decoded() {
    let mut wire = document(1);
    wire["services"][0]["coldStartS"] = json!(12.5);
    wire["services"][0]["coldPerS"] = json!(2.5);
    wire["services"][1]["coldStartS"] = json!(8);
    wire["services"][1]["coldPerS"] = json!(0);
    let decoded = decode_document(wire.to_string().as_bytes()).unwrap();
    let cold = |at: usize| {
        let service = &decoded.services[at];
        (service.cold_start_ms, service.cold_limit_milli_per_s)
    };
    assert_eq!([cold(0), cold(1)], [(12_500, Some(2_500)), (8_000, None)]);
    let mut health = HeaderMap::new();
    for (value, expected) in [
        ("", None),
        ("soon", None),
        ("-1", None),
        ("1500.2", Some(1_501)),
    ] {
        let name = "x-lilacspindle-cold-milliseconds";
        health.insert(name, HeaderValue::from_static(value));
        assert_eq!(headers::cold_remaining_ms(&health), expected, "{value:?}");
    }
    assert_eq!(headers::cold_remaining_ms(&HeaderMap::new()), None);
}

/// Guards against an error that names only the first fault of a document.
#[test]
fn every_fault_of_a_document_is_named() {
    let mut wire = document(1);
    wire["routes"][0]["timeoutMs"] = json!(0);
    wire["routes"][0]["service"] = json!("nobody");
    wire["routes"][1]["pathPrefix"] = json!("no-slash");
    wire["routes"][2]["kind"] = json!("odd");
    let text = decode_document(wire.to_string().as_bytes())
        .unwrap_err()
        .to_string();
    for fault in [
        "above 0 ms",
        "unknown service nobody",
        "begin and end with a slash",
        "\"odd\"",
    ] {
        assert!(text.contains(fault), "{fault} is not named in:\n{text}");
    }
}

/// Guards against a wrong route, a prefix that matches only a part of a path segment, and a traffic
/// split with wrong shares.
#[test]
fn longest_prefix_of_the_host_wins() {
    let mut wire = document(1);
    let mut inner = wire["routes"][0].clone();
    inner["name"] = json!("inner");
    inner["pathPrefix"] = json!("/once/inner/");
    wire["routes"].as_array_mut().unwrap().push(inner);
    wire["routes"][1]["trafficSplit"] =
        json!([{"service": "plain", "weight": 1}, {"service": "model", "weight": 3}]);
    let index = Index::new(decode_document(wire.to_string().as_bytes()).unwrap());
    let name = |host: &str, path: &str| index.route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("calls.example", "/once/x").as_deref(), Some("once"));
    assert_eq!(
        name("calls.example:8080", "/once/inner/x").as_deref(),
        Some("inner")
    );
    assert_eq!(
        name("calls.example", "/once/inner").as_deref(),
        Some("once")
    );
    assert_eq!(name("calls.example", "/oncex"), None);
    assert_eq!(name("example", "/once/x"), None);
    let route = index.route("calls.example", "/safe/x").unwrap();
    let to_model = (0..400).filter(|n| &**Index::choose_service(route, *n).unwrap() == "model");
    assert_eq!(to_model.count(), 300);
}

/// Guards against a key that grants access as another workspace.
#[test]
fn keys_grant_access_as_their_workspace() {
    let index = Index::new(decode_document(document(1).to_string().as_bytes()).unwrap());
    let route = index.route("calls.example", "/once/x").unwrap();
    assert!(
        matches!(index.access(route, Some("k3")), Access::Workspace(w) if w.name.as_str() == "w2")
    );
    assert!(matches!(index.access(route, Some("k4")), Access::Denied));
    assert!(matches!(index.access(route, None), Access::Denied));
}

/// Guards against a malformed entry that hides the others; entries may come from different writers.
#[test]
fn malformed_entries_of_the_list_are_skipped() {
    let valid = json!({"identifier": "i-1", "service": "s", "address": "10.0.0.1:80", "zone": "z",
        "version": "v1", "slots": 6, "state": "draining", "coldRemainingMs": 12.5, "new": true});
    let mut malformed = vec![json!(7), json!({"identifier": "i-2"})];
    for (field, value) in [
        ("state", json!("resting")),
        ("address", json!("nowhere")),
        ("slots", json!("many")),
        ("identifier", json!(null)),
    ] {
        let mut entry = valid.clone();
        entry[field] = value;
        malformed.push(entry);
    }
    malformed.insert(2, valid);
    let page = json!({"instances": malformed, "next": "p-50"}).to_string();
    let (listed, next) = decode_instances(page.as_bytes()).unwrap();
    assert_eq!(next.as_deref(), Some("p-50"));
    assert_eq!(listed.len(), 1);
    assert_eq!(
        (listed[0].state, listed[0].cold_remaining_ms),
        (ListedState::Draining, 13)
    );
    assert!(decode_instances(b"{\"instances\": 4}").is_err());
    let damaged = page.replace("nowhere", "10.0.0.9:80").into_bytes();
    let at = damaged.windows(11).position(|part| part == b"10.0.0.9:80");
    let mut damaged = damaged;
    damaged[at.unwrap()] = 0xff;
    assert_eq!(decode_instances(&damaged).unwrap().0.len(), 1);
}

/// Guards against a notice of departure that is overlooked.
#[test]
fn report_states_when_the_instance_leaves() {
    let body = json!({"stage": "both", "busy": false, "sequence": 2, "queuedRequests": 1,
        "activeRequests": 12, "kvCacheUsed": 41_000, "kvCacheTotal": 90_000, "handles": 0,
        "leaves_ms": 1540.5, "runs": [["id", 10, 2, 5]]});
    let report = decode_report(body.to_string().as_bytes()).unwrap();
    assert_eq!(
        (report.running, report.queued, report.used_tokens),
        (12, 1, 41_000)
    );
    assert_eq!(report.leaves_in_ms, Some(1_540));
    assert!(report.leaves());
    assert!(!decode_report(b"{}").unwrap().leaves());
}

/// Guards against hop-by-hop headers that are forwarded, and against a caller that lists a header
/// that identifies its request in `Connection` to have it removed.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut caller = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-private, x-lilacspindle-model"),
        ("x-private", "1"),
        ("keep-alive", "timeout=3"),
        ("te", "trailers"),
        ("x-lilacspindle-model", "m"),
        ("x-lilacspindle-request-id", "id"),
    ] {
        caller.insert(name, value.parse().unwrap());
    }
    let forwarded = headers::passed_on(&caller);
    let names: Vec<&str> = forwarded.keys().map(http::HeaderName::as_str).collect();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(forwarded.contains_key("x-lilacspindle-model"));
    assert_eq!(headers::keep_alive_s(&caller), Some(0));
    caller.insert("connection", "keep-alive".parse().unwrap());
    assert_eq!(headers::keep_alive_s(&caller), Some(3));
    caller.remove("keep-alive");
    assert_eq!(headers::keep_alive_s(&caller), None);
}

quickcheck! {
    /// Guards against decoders that panic on arbitrary input.
    fn decoders_accept_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        let _ = decode_document(&bytes);
        let _ = decode_instances(&bytes);
        let _ = decode_report(&bytes);
        true
    }
}

/// Guards against an announced departure that is ignored because of the form of the header.
#[test]
fn every_header_value_but_zero_announces_departure() {
    let announces = |values: &[&'static str]| {
        let mut response = HeaderMap::new();
        for value in values {
            response.append("server-leaving", HeaderValue::from_static(value));
        }
        headers::announces_shutdown(&response)
    };
    for values in [
        &["1"][..],
        &[""],
        &["yes"],
        &["0", "1"],
        &["1", "1"],
        &["-1"],
    ] {
        assert!(announces(values), "{values:?}");
    }
    for values in [&[][..], &["0"], &[" 0 "], &["0", "0"]] {
        assert!(!announces(values), "{values:?}");
    }
}

/// Guards against a `Retry-After` time that is misread, or taken from a response other than a 503.
#[test]
fn retry_after_is_read_only_from_503_responses() {
    let asked = |status: StatusCode, values: &[&str]| {
        let mut response = HeaderMap::new();
        for value in values {
            response.append(RETRY_AFTER, HeaderValue::from_str(value).unwrap());
        }
        headers::asked_pause(status, &response)
    };
    let unavailable = |values: &[&str]| asked(StatusCode::SERVICE_UNAVAILABLE, values);
    assert_eq!(unavailable(&["2"]), Some(AskedPause::Ms(2_000)));
    assert_eq!(unavailable(&[" 0.2504 "]), Some(AskedPause::Ms(251)));
    assert_eq!(unavailable(&["1", "x", "3.5"]), Some(AskedPause::Ms(3_500)));
    assert_eq!(unavailable(&["1e300"]), Some(AskedPause::Ms(u64::MAX)));
    for unreadable in [
        "",
        "-1",
        "inf",
        "NaN",
        "soon",
        "Fri, 04 Dec 2026 10:00:00 GMT",
    ] {
        assert_eq!(
            unavailable(&[unreadable]),
            Some(AskedPause::Unreadable),
            "{unreadable}"
        );
    }
    assert_eq!(unavailable(&[]), None);
    assert_eq!(asked(StatusCode::TOO_MANY_REQUESTS, &["2"]), None);
    assert_eq!(asked(StatusCode::OK, &["2"]), None);
}

/// Guards against a request limit that is misread, or treated as no limit because it cannot be
/// parsed.
#[test]
fn lowest_valid_request_limit_counts() {
    let named = |values: &[&str]| {
        let mut response = HeaderMap::new();
        for value in values {
            response.append("server-limit", HeaderValue::from_str(value).unwrap());
        }
        headers::named_limit(&response)
    };
    assert_eq!(named(&[]), None);
    for (value, milli_per_s) in [("3.9", 3_900), (" 2 ", 2_000), ("0", 0), ("0.0004", 0)] {
        assert_eq!(named(&[value]), Some(NamedLimit::MilliPerS(milli_per_s)));
    }
    assert_eq!(
        named(&["5", "x", "2.5"]),
        Some(NamedLimit::MilliPerS(2_500))
    );
    assert_eq!(named(&["1e300"]), Some(NamedLimit::MilliPerS(u64::MAX)));
    for unreadable in ["", "-1", "inf", "NaN", "few", "3 per second", "2,5"] {
        assert_eq!(
            named(&[unreadable]),
            Some(NamedLimit::Unreadable),
            "{unreadable}"
        );
    }
}
