//! Single cases of table edits: the texts of refusals, and the bounds on stored answers and
//! history.

mod state_support;

use lilacspindle::domain::state::{
    Command, EditAnswer, EditId, EditRefusal, Response, RowChange, State,
};
use lilacspindle::domain::table::{
    AuditOutcome, MAX_ANSWERS, MAX_AUDIT_BYTES, MAX_EDITORS, MAX_FINDINGS, ModelRow, Row, RowKey,
    Rows, from_ini,
};
use lilacspindle::model::TableVersion;
use state_support::{replica, sidecar};

const TABLE: &str = "\
[model/tutor]
version = 1
[workspace/a]
weight = 1
max_tokens = 10
[kind/a/essay]
lane = long
repeatable = true
deadline_ms = 1000
model = tutor
";

struct Fixture {
    state: State,
    index: u64,
    now_ms: u64,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            state: State::default(),
            index: 0,
            now_ms: 1_000,
        };
        fixture.edit("first", 0, set(&rows(TABLE))).unwrap();
        fixture
    }

    fn edit(&mut self, id: &str, base: u64, changes: Vec<RowChange>) -> EditAnswer {
        self.index += 1;
        let command = Command::Edit {
            id: EditId(id.to_owned()),
            author: "ann".to_owned(),
            base: TableVersion(base),
            changes,
            now_ms: self.now_ms,
        };
        match self.state.apply(self.index, &command).0 {
            Response::Edit(answer) => answer,
            other => panic!("not an answer to an edit: {other:?}"),
        }
    }

    fn refusal(&mut self, id: &str, changes: Vec<RowChange>) -> String {
        let base = self.state.view().version.0;
        let answer = self.edit(id, base, changes);
        answer.unwrap_err().to_string()
    }

    fn register(&mut self, versions: &[&str]) {
        self.index += 1;
        let versions = versions.iter().map(|version| (*version).to_owned());
        let upstream = replica("u", "tutor", versions.collect());
        let member = sidecar("i", self.index, vec![upstream]);
        let command = Command::Register {
            member,
            now_ms: self.now_ms,
        };
        self.state.apply(self.index, &command);
    }
}

fn rows(ini: &str) -> Rows {
    from_ini("test", ini).unwrap()
}

fn set(rows: &Rows) -> Vec<RowChange> {
    let changes = rows.iter().map(|(key, row)| RowChange {
        key: key.clone(),
        row: Some(row.clone()),
    });
    changes.collect()
}

fn delete(key: &str) -> Vec<RowChange> {
    let key = key.parse().unwrap();
    vec![RowChange { key, row: None }]
}

fn limit(value: u64) -> Vec<RowChange> {
    set(&rows(&format!("[limit/x]\nvalue = {value}")))
}

/// Guards against validation that stops at the first fault or does not name the field.
#[test]
fn every_fault_is_reported_with_its_place() {
    let mut fixture = Fixture::new();
    let text = fixture.refusal(
        "bad",
        set(&rows(
            "[workspace/b]\nweight = 0\nmax_tokens = 0\napi_key_sha256 = short\n\
             [kind/none/k]\nlane = small\nrepeatable = true\ndeadline_ms = 0\nservice = gone\n\
             [limit/-x]\nvalue = 1\n",
        )),
    );
    for place in [
        "workspace/b weight: is 0, outside 1 to 1000000",
        "workspace/b max_tokens: is 0",
        "workspace/b api_key_sha256: must have 64",
        "kind/none/k deadline_ms: is 0",
        "kind/none/k workspace: names workspace/none, which would not exist",
        "kind/none/k target: names service/gone, which would not exist",
        "limit/-x: \"-x\" must have 1 to 64 letters",
    ] {
        assert!(text.contains(place), "{place} is missing in:\n{text}");
    }
    assert_eq!(text.lines().count(), 7, "{text}");
    let backslash = set(&rows("[model/m]\nversion = a\\b"));
    assert!(
        fixture
            .refusal("text", backslash)
            .contains("model/m version: must have 1 to 128")
    );
    assert!(
        fixture
            .refusal("used", delete("model/tutor"))
            .contains("is used by kind/a/essay")
    );
    assert!(
        fixture
            .refusal("empty", Vec::new())
            .contains("changes: is empty")
    );
    let many = (0..=MAX_FINDINGS).map(|n| RowChange {
        key: RowKey::Limit(format!("n{n}")),
        row: None,
    });
    let text = fixture.refusal("many", many.collect());
    assert!(text.ends_with("changes: has 1 more findings"), "{text}");
}

/// Guards against activating a version that no replica has loaded, and against a refusal that does
/// not say what to do instead.
#[test]
fn version_must_be_loaded_before_it_becomes_active() {
    let mut fixture = Fixture::new();
    let version = |version: &str| set(&rows(&format!("[model/tutor]\nversion = {version}")));
    assert!(
        fixture.edit("alone", 1, version("2")).is_ok(),
        "no replica is registered"
    );
    fixture.register(&["2"]);
    let text = fixture.refusal("early", version("3"));
    assert!(
        text.contains("model/tutor version: \"3\" is not loaded on any of 1 replicas"),
        "{text}"
    );
    assert!(text.contains("set prepare_version to it first"), "{text}");
    fixture.register(&["2", "3"]);
    let base = fixture.state.view().version.0;
    assert!(fixture.edit("loaded", base, version("3")).is_ok());
}

/// Guards against a conflict that does not name the winning edit, and against a conflict between
/// edits of different rows.
#[test]
fn conflict_names_the_winning_edit() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.edit("ann-1", 1, limit(1)), Ok(TableVersion(2)));
    let refusal = fixture.edit("bob-1", 1, limit(2)).unwrap_err();
    let expected = EditRefusal::Conflict {
        winner: EditId("ann-1".to_owned()),
        author: "ann".to_owned(),
        version: TableVersion(2),
        rows: vec!["limit/x".parse().unwrap()],
    };
    assert_eq!(refusal, expected);
    let other = set(&rows("[limit/y]\nvalue = 1"));
    assert_eq!(
        fixture.edit("bob-2", 1, other),
        Ok(TableVersion(4)),
        "an edit of another row must not conflict"
    );
    let newest = fixture.state.edits().audit.newest().nth(1).unwrap();
    let refused = matches!(&newest.outcome, AuditOutcome::Refused { reason, .. }
        if reason.contains("ann-1"));
    assert!(
        refused,
        "a refused edit must be in the audit trail: {newest:?}"
    );
}

/// Guards against memory that grows with the number of edits, and against applying a resent edit a
/// second time after its stored answer was dropped.
#[test]
fn answers_editors_and_history_are_bounded() {
    let mut fixture = Fixture::new();
    assert!(fixture.edit("old", 1, limit(1)).is_ok());
    assert!(fixture.edit("gone", 2, delete("limit/x")).is_ok());
    let total = u64::try_from(MAX_EDITORS.max(MAX_ANSWERS)).unwrap() + 10;
    for number in 0..total {
        let base = fixture.state.view().version.0;
        let change = set(&rows(&format!("[limit/y]\nvalue = {number}")));
        fixture.edit(&format!("e{number}"), base, change).unwrap();
    }
    // The answer and the deletion were dropped, but the state still knows that it dropped
    // deletions.
    let refusal = fixture.edit("old", 1, limit(1)).unwrap_err().to_string();
    assert!(
        refusal.contains("limit/x: may have been deleted after version 1"),
        "{refusal}"
    );
    let refusal = fixture
        .edit("e0", 3, set(&rows("[limit/y]\nvalue = 0")))
        .unwrap_err();
    assert!(
        matches!(refusal, EditRefusal::Conflict { .. }),
        "{refusal:?}"
    );
    let mut largest = 0;
    for version in 100..170 {
        let row = Row::Model(ModelRow {
            version: version.to_string().repeat(40),
            prepare_version: None,
            adapter: Some("a".repeat(128)),
        });
        let models = (0..1_000).map(|number| RowChange {
            key: RowKey::Model(format!("m{number}").as_str().into()),
            row: Some(row.clone()),
        });
        let base = fixture.state.view().version.0;
        let answer = fixture.edit(&format!("m{version}"), base, models.collect());
        answer.unwrap();
        largest = largest.max(fixture.state.edits().audit.total_bytes());
    }
    assert!(
        largest <= MAX_AUDIT_BYTES,
        "the audit trail takes {largest} bytes"
    );
    assert!(
        largest > MAX_AUDIT_BYTES / 2,
        "the bound was not reached: {largest} bytes"
    );
    let restored = State::restore(&fixture.state.snapshot()).unwrap();
    assert!(restored == fixture.state);
}
