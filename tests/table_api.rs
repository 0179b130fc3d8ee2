//! Tests of the operators' API: malformed input, size limits, and the JSON and INI parsers.

mod api_support;
mod state_support;

use api_support::{Role, Shared, TOKEN, rocket};
use lilacspindle::domain::table::{ModelRow, Row, Rows, from_ini, to_ini};
use lilacspindle::roles::control::operator_api::{EditJson, MAX_BODY_BYTES, changes_from_json};
use rocket::http::{Header, Status};
use rocket::local::blocking::Client;
use serde_json::{Value, json};
use state_support::check;

fn client(shared: &Shared) -> Client {
    Client::tracked(rocket(shared, &Role::Leader)).unwrap()
}

fn bearer(token: &str) -> Header<'static> {
    Header::new("Authorization", format!("Bearer {token}"))
}

fn post(client: &Client, body: &str) -> (Status, Value) {
    let request = client.post("/v1/table").header(bearer(TOKEN)).body(body);
    let response = request.dispatch();
    let status = response.status();
    let text = response.into_string().unwrap();
    (status, serde_json::from_str(&text).unwrap())
}

/// Guards against malformed input that is partly accepted, and errors that do not name the location
/// in the input.
#[test]
fn malformed_input_is_rejected_with_the_location_of_each_error() {
    let shared = Shared::default();
    let client = client(&shared);
    let edit = |changes: &str| format!(r#"{{"id":"e","author":"a","base":0,"changes":{changes}}}"#);
    for (body, place) in [
        ("{".to_owned(), "line 1 column 1"),
        (edit("7"), "line 1 column"),
        (edit("[]").replace("base", "bass"), "unknown field `bass`"),
        (
            edit(r#"[{"row":"limit/x","fields":{"value":1,"value":2}}]"#),
            "\"value\" is given twice",
        ),
        (
            edit("[]").replace("\"e\"", "\"e\",\"id\":\"f\""),
            "duplicate field `id`",
        ),
    ] {
        let (status, answer) = post(&client, &body);
        assert_eq!(status, Status::BadRequest, "{body}: {answer}");
        assert!(
            answer["message"].as_str().unwrap().contains(place),
            "{answer}"
        );
    }
    let changes = r#"[
        {"row":"limit/x","fields":{"value":"1"}},
        {"row":"workspace/a/b","delete":true},
        {"row":"workspace/a","fields":{"weight":1,"max_tokens":-5,"api_key_sha256":7}},
        {"row":"limit/y"}]"#;
    let (status, answer) = post(&client, &edit(changes));
    assert_eq!(status, Status::UnprocessableEntity);
    let findings = answer["findings"].as_array().unwrap();
    let places: Vec<_> = findings
        .iter()
        .map(|finding| finding["place"].as_str().unwrap())
        .collect();
    let expected = [
        "changes[0] limit/x value",
        "changes[1] workspace/a/b",
        "changes[2] workspace/a api_key_sha256",
        "changes[2] workspace/a max_tokens",
        "changes[3] limit/y",
    ];
    assert_eq!(places, expected);
    let large = " ".repeat(usize::try_from(MAX_BODY_BYTES).unwrap() + 1);
    assert_eq!(post(&client, &large).0, Status::PayloadTooLarge);
    assert_eq!(
        shared.lock().unwrap().1,
        0,
        "malformed input reached the log"
    );
}

/// Guards against routes that answer requests without the right token, or with two
/// `Authorization` headers.
#[test]
fn every_route_needs_the_token() {
    let shared = Shared::default();
    let client = client(&shared);
    for path in [
        "/v1/table",
        "/v1/table/limit/x",
        "/v1/table/history",
        "/v1/status",
    ] {
        let bare = client.get(path).dispatch();
        assert_eq!(bare.status(), Status::Unauthorized, "{path}");
        assert!(bare.into_string().unwrap().contains("unauthorized"));
        let wrong = client.get(path).header(bearer("x")).dispatch();
        assert_eq!(wrong.status(), Status::Unauthorized, "{path}");
        let twice = client.get(path).header(bearer(TOKEN));
        let twice = twice.header(bearer(TOKEN)).dispatch();
        assert_eq!(twice.status(), Status::Unauthorized, "{path}");
        let right = client.get(path).header(bearer(TOKEN)).dispatch();
        assert_ne!(right.status(), Status::Unauthorized, "{path}");
    }
    for path in ["/v1/table", "/v1/drain/x"] {
        assert_eq!(
            client.post(path).dispatch().status(),
            Status::Unauthorized,
            "{path}"
        );
    }
}

/// Guards against a dry run that changes the table, a conflict that does not name the edit that
/// won, and a resent edit that does not get its first answer.
#[test]
fn dry_run_changes_nothing_and_conflict_names_the_winner() {
    let shared = Shared::default();
    let client = client(&shared);
    let edit = |id: &str, value: u64, dry_run: bool| {
        let changes = json!([{ "row": "limit/x", "fields": { "value": value } }]);
        json!({ "id": id, "author": id, "base": 0, "dry_run": dry_run, "changes": changes })
    };
    let (status, answer) = post(&client, &edit("ann", 1, true).to_string());
    assert_eq!(
        (status, &answer["result"]),
        (Status::Ok, &json!("would_be_accepted"))
    );
    assert_eq!(shared.lock().unwrap().1, 0);
    assert_eq!(
        post(&client, &edit("ann", 1, false).to_string()).0,
        Status::Ok
    );
    let (status, answer) = post(&client, &edit("bob", 2, false).to_string());
    assert_eq!(status, Status::Conflict);
    let expected = json!({
        "result": "conflict", "winner": "ann", "author": "ann", "version": 1, "rows": ["limit/x"],
    });
    assert_eq!(answer, expected);
    let (_, answer) = post(&client, &edit("ann", 1, false).to_string());
    assert_eq!(answer, json!({ "result": "accepted", "version": 1 }));
    // A client that restarts and resends its edit has read a newer base version.
    let resent = edit("ann", 1, false)
        .to_string()
        .replace("\"base\":0", "\"base\":1");
    assert_eq!(
        post(&client, &resent).1,
        json!({ "result": "accepted", "version": 1 })
    );
    let (_, answer) = post(&client, &edit("ann", 7, false).to_string());
    let reason = answer["findings"][0]["reason"].as_str().unwrap();
    assert!(
        reason.contains("another edit, which was accepted at version 1"),
        "{reason}"
    );
}

/// Guards against parsers that panic on arbitrary input, INI files that do not parse back to the
/// same table, and errors without a line number.
#[test]
#[allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value
fn parsers_accept_arbitrary_bytes() {
    fn ini_text(bytes: Vec<u8>) -> bool {
        let text = String::from_utf8_lossy(&bytes);
        let _ = from_ini("f", &text);
        let _ = from_ini(
            "f",
            &format!("[workspace/a]\nweight = {text}\n[{text}]\n{text} = 1"),
        );
        true
    }
    fn json_text(bytes: Vec<u8>) -> bool {
        let _ = serde_json::from_slice::<EditJson>(&bytes);
        let text = json!(String::from_utf8_lossy(&bytes));
        let edit = json!({ "id": "e", "author": "a", "base": 0, "changes": [
            { "row": text, "delete": true },
            { "row": "kind/*/k", "fields": { "lane": text, "model": text, "deadline_ms": bytes } },
        ]});
        let edit: EditJson = serde_json::from_value(edit).unwrap();
        changes_from_json(&edit.changes).is_err()
    }
    fn round_trip(weight: u32, slots: Option<u32>, tokens: u32) -> bool {
        let slots = slots
            .map(|slots| format!("room_slots = {slots}\n"))
            .unwrap_or_default();
        let text = format!("[workspace/a]\nweight = {weight}\n{slots}max_tokens = {tokens}\n");
        let rows = from_ini("f", &text).unwrap();
        from_ini("g", &to_ini(&rows)).unwrap() == rows && rows.len() == 1
    }
    fn any_adapter_round_trips(bytes: Vec<u8>) -> bool {
        let graphic = bytes
            .iter()
            .map(|byte| char::from(b'!' + byte % 94))
            .filter(|c| *c != '\\')
            .take(128);
        let row = Row::Model(ModelRow {
            version: "x".to_owned(),
            prepare_version: None,
            adapter: Some(graphic.collect()).filter(|text: &String| !text.is_empty()),
        });
        let rows = Rows::from([("model/m".parse().unwrap(), row)]);
        from_ini("f", &to_ini(&rows)).as_ref() == Ok(&rows)
    }
    check(any_adapter_round_trips as fn(Vec<u8>) -> bool);
    check(ini_text as fn(Vec<u8>) -> bool);
    check(json_text as fn(Vec<u8>) -> bool);
    check(round_trip as fn(u32, Option<u32>, u32) -> bool);
    let twice = "[limit/x]\nvalue = 1\nvalue = 2\n[limit/x]\nvalue = 3\n[limit/y]\nvalue = a\n";
    let findings = from_ini("f", twice).unwrap_err().to_string();
    for place in [
        "f:1 [limit/x] value: is given twice",
        "f:6 [limit/y] value: is malformed",
    ] {
        assert!(
            findings.contains(place),
            "{place} is missing in:\n{findings}"
        );
    }
}
