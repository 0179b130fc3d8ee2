//! Documents that the protocol calls invalid are refused, and valid ones are obeyed as they are
//! written.

use lilacspindle::domain::document::Index;
use lilacspindle::platform::decode_document;
use serde_json::{Value, json};

/// Returns a document with one route and one workspace.
fn document() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "r", "host": "calls.example", "pathPrefix": "/a/", "kind": "safe",
            "timeoutMs": 4000, "service": "plain",
        }],
        "services": [{"name": "plain"}],
        "tenants": [{"name": "w1", "apiKeys": ["k1"]}],
    })
}

fn changed(change: impl Fn(&mut Value)) -> Value {
    let mut document = document();
    change(&mut document);
    document
}

fn is_valid(document: &Value) -> bool {
    decode_document(document.to_string().as_bytes()).is_ok()
}

/// Guards against an unknown service that is accepted because the route is split between others.
#[test]
fn service_of_a_split_route_must_be_known() {
    let split = |service: &str| {
        changed(|document| {
            document["routes"][0]["service"] = json!(service);
            document["routes"][0]["trafficSplit"] = json!([{"service": "plain", "weight": 1}]);
        })
    };
    assert!(is_valid(&split("plain")));
    assert!(!is_valid(&split("unknown")));
}

/// Guards against a key that two workspaces share because they have the same name.
#[test]
fn workspaces_of_the_same_name_share_no_key() {
    let second = |keys: &[&str]| {
        changed(|document| {
            let workspaces = document["tenants"].as_array_mut().unwrap();
            workspaces.push(json!({"name": "w1", "apiKeys": keys}));
        })
    };
    assert!(is_valid(&second(&["k2", "k2"])));
    assert!(!is_valid(&second(&["k2", "k1"])));
}

/// Guards against a route that is not found because the document writes its host with capitals or
/// a port.
#[test]
fn hosts_are_found_regardless_of_case_and_port() {
    for (written, sent) in [
        ("calls.example", "CALLS.example"),
        ("Calls.Example", "calls.example"),
        ("Calls.Example", "Calls.Example:8080"),
        ("calls.example:8080", "calls.example:8080"),
        ("calls.example:8080", "calls.example"),
    ] {
        let wire = changed(|document| document["routes"][0]["host"] = json!(written));
        let index = Index::new(decode_document(wire.to_string().as_bytes()).unwrap());
        let found = index.route(sent, "/a/x").is_some();
        assert!(found, "{sent} is not found as {written}");
    }
}

/// Guards against invalid documents that are accepted.
#[test]
fn documents_that_cannot_be_read_in_full_are_invalid() {
    let text = document().to_string();
    let route = text.find("\"timeoutMs\"").unwrap();
    let twice = format!("{}\"timeoutMs\":1,{}", &text[..route], &text[route..]);
    for body in [
        text[..text.len() - 1].to_owned(),
        format!("{text}}}"),
        format!("{text}{text}"),
        twice,
        String::new(),
        "null".to_owned(),
    ] {
        assert!(decode_document(body.as_bytes()).is_err(), "{body}");
    }
    for (field, value) in [
        ("service", json!(null)),
        ("service", json!("")),
        ("trafficSplit", json!([{"service": "plain", "weight": 0}])),
        ("trafficSplit", json!([{"service": "plain", "weight": -1}])),
        ("trafficSplit", json!([{"service": "plain"}])),
        ("timeoutMs", json!(0)),
        ("timeoutMs", json!(-1)),
        ("timeoutMs", json!("4000")),
        ("timeoutMs", json!(null)),
        ("kind", json!("other")),
        ("pathPrefix", json!("/a")),
        ("pathPrefix", json!("")),
    ] {
        let wire = changed(|document| document["routes"][0][field] = value.clone());
        assert!(!is_valid(&wire), "{field}: {value}");
    }
}

/// Guards against valid documents that are refused.
#[test]
fn unknown_fields_and_missing_options_are_accepted() {
    for (field, value) in [
        ("x-new", json!({"any": [1, null]})),
        ("trafficSplit", json!([])),
        (
            "trafficSplit",
            json!([{"service": "plain", "weight": 0}, {"service": "plain", "weight": 1}]),
        ),
        ("priority", json!(9)),
        ("gapTargetMs", json!(null)),
    ] {
        let wire = changed(|document| document["routes"][0][field] = value.clone());
        assert!(is_valid(&wire), "{field}: {value}");
    }
    let two_prefixes = changed(|document| {
        let mut nested = document["routes"][0].clone();
        nested["pathPrefix"] = json!("/a/b/");
        document["routes"].as_array_mut().unwrap().push(nested);
    });
    assert!(is_valid(&two_prefixes));
    let empty = json!({"version": 3, "routes": [], "services": []});
    assert!(is_valid(&empty));
}
