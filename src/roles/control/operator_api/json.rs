//! JSON types of the operators' API, shared by the routes and the command line.

use std::fmt;

use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::domain::state::{EditRefusal, RowChange};
use crate::domain::table::{
    AuditEntry, AuditOutcome, FieldType, Fields, Row, RowKey, Rows, field_type,
};
use crate::findings::{Finding, Findings};

/// The fields of a row. Deserialization fails on a duplicate field.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct JsonFields(pub Map<String, Value>);

impl<'de> Deserialize<'de> for JsonFields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Fields;

        impl<'de> Visitor<'de> for Fields {
            type Value = JsonFields;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object with the fields of a row")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<JsonFields, A::Error> {
                let mut fields = Map::new();
                while let Some((name, value)) = map.next_entry::<String, Value>()? {
                    if fields.insert(name.clone(), value).is_some() {
                        return Err(A::Error::custom(format!("field {name:?} is given twice")));
                    }
                }
                Ok(JsonFields(fields))
            }
        }

        deserializer.deserialize_map(Fields)
    }
}

/// A row with the version at which it was last changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowJson {
    pub row: String,
    pub version: u64,
    pub fields: JsonFields,
}

/// Rows of the table at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableReply {
    pub version: u64,
    pub rows: Vec<RowJson>,
}

impl TableReply {
    /// Parses the rows; fails with every error found.
    pub fn rows(&self) -> Result<Rows, Findings> {
        let mut findings = Findings::default();
        let mut rows = Rows::new();
        for row in &self.rows {
            let parsed = row_from_json(&row.row, &row.row, &row.fields, &mut findings);
            rows.extend(parsed);
        }
        findings.into_result(rows)
    }
}

/// One change of an edit: either the row's new fields, or `delete`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeJson {
    pub row: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fields: Option<JsonFields>,
    #[serde(default)]
    pub delete: bool,
}

impl From<&RowChange> for ChangeJson {
    fn from(change: &RowChange) -> Self {
        Self {
            row: change.key.to_string(),
            fields: change.row.as_ref().map(fields_to_json),
            delete: change.row.is_none(),
        }
    }
}

/// An edit of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditJson {
    pub id: String,
    pub author: String,
    /// The table version that the edit is based on.
    pub base: u64,
    /// Checks whether the edit would be accepted, without applying it.
    #[serde(default)]
    pub dry_run: bool,
    pub changes: Vec<ChangeJson>,
}

/// The answer to an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditReply {
    /// The edit was accepted and produced this table version.
    Accepted {
        version: u64,
    },
    /// Answer to a dry run: the edit would be accepted at this table version and would change these
    /// rows.
    WouldBeAccepted {
        version: u64,
        rows: Vec<String>,
    },
    Invalid {
        findings: Vec<Finding>,
    },
    Conflict {
        winner: String,
        author: String,
        version: u64,
        rows: Vec<String>,
    },
}

impl From<EditRefusal> for EditReply {
    fn from(refusal: EditRefusal) -> Self {
        match refusal {
            EditRefusal::Invalid(findings) => Self::Invalid {
                findings: findings.0,
            },
            EditRefusal::Conflict {
                winner,
                author,
                version,
                rows,
            } => Self::Conflict {
                winner: winner.0,
                author,
                version: version.0,
                rows: rows.iter().map(ToString::to_string).collect(),
            },
        }
    }
}

/// One edit in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    pub id: String,
    pub author: String,
    pub at_ms: u64,
    pub base: u64,
    /// `None` if the edit was rejected.
    pub version: Option<u64>,
    /// Why the edit was rejected; `None` if it was accepted.
    pub reason: Option<String>,
    pub rows: Vec<HistoryRow>,
}

/// One row of an edit in the history. `before` or `after` is `None` if the row did not exist then,
/// and both are `None` if the edit was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    pub row: String,
    pub before: Option<JsonFields>,
    pub after: Option<JsonFields>,
}

impl From<&AuditEntry> for HistoryEntry {
    fn from(entry: &AuditEntry) -> Self {
        let (version, reason, rows) = match &entry.outcome {
            AuditOutcome::Accepted { version, rows } => {
                let rows = rows.iter().map(|row| HistoryRow {
                    row: row.key.to_string(),
                    before: row.before.as_ref().map(fields_to_json),
                    after: row.after.as_ref().map(fields_to_json),
                });
                (Some(version.0), None, rows.collect())
            }
            AuditOutcome::Refused { reason, rows } => {
                let rows = rows.iter().map(|key| HistoryRow {
                    row: key.to_string(),
                    before: None,
                    after: None,
                });
                (None, Some(reason.clone()), rows.collect())
            }
        };
        Self {
            id: entry.id.0.clone(),
            author: entry.author.clone(),
            at_ms: entry.at_ms,
            base: entry.base.0,
            version,
            reason,
            rows,
        }
    }
}

/// The edit history, newest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    pub entries: Vec<HistoryEntry>,
}

/// The answer to a drain request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReply {
    pub instance: String,
    pub incarnation: String,
    pub phase: String,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    Malformed,
    TooLarge,
    Unauthorized,
    NotFound,
    /// Another instance leads; send the request to the leader.
    NotLeader,
    /// The command may or may not take effect; resend it with the same id.
    Undecided,
    /// The control role has stopped or cannot confirm its state.
    Unavailable,
    Internal,
}

/// The answer to a request that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    pub error: ErrorCode,
    pub message: String,
    /// The admin address of the leader, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// For `NotFound`, the table version that was searched.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

/// Converts a row's fields to JSON values of the fields' types.
pub fn fields_to_json(row: &Row) -> JsonFields {
    let fields = row.fields().into_iter().map(|(name, text)| {
        let value = match field_type(name) {
            FieldType::Number => text.parse::<u64>().map(Value::from).ok(),
            FieldType::Bool => text.parse::<bool>().map(Value::from).ok(),
            FieldType::Text => None,
        };
        (name.to_owned(), value.unwrap_or(Value::String(text)))
    });
    JsonFields(fields.collect())
}

/// Parses a row from JSON. On failure, adds every error to `findings` and returns `None`.
pub fn row_from_json(
    place: &str,
    key: &str,
    fields: &JsonFields,
    findings: &mut Findings,
) -> Option<(RowKey, Row)> {
    let key = parse_key(place, key, findings)?;
    let before = findings.0.len();
    let mut texts = Fields::new();
    for (name, value) in &fields.0 {
        match (field_type(name), value) {
            (_, Value::Null) => {}
            (FieldType::Number, Value::Number(number)) => {
                texts.insert(name.clone(), number.to_string());
            }
            (FieldType::Bool, Value::Bool(value)) => {
                texts.insert(name.clone(), value.to_string());
            }
            (FieldType::Text, Value::String(text)) => {
                texts.insert(name.clone(), text.clone());
            }
            (expected, _) => {
                let expected = format!("{expected:?}").to_lowercase();
                findings.add(format!("{place} {name}"), format!("must be a {expected}"));
                // A valid placeholder, so that the field is not reported as missing as well.
                texts.insert(name.clone(), placeholder_value(name).to_owned());
            }
        }
    }
    let field_place = |name: &str| format!("{place} {name}");
    let row = Row::parse(&key, &texts, &field_place, findings)?;
    (findings.0.len() == before).then_some((key, row))
}

fn placeholder_value(name: &str) -> &'static str {
    match (field_type(name), name) {
        (FieldType::Number, _) => "1",
        (FieldType::Bool, _) => "false",
        (FieldType::Text, "lane") => "small",
        (FieldType::Text, _) => "x",
    }
}

/// Parses the changes of an edit; fails with every error found.
pub fn changes_from_json(changes: &[ChangeJson]) -> Result<Vec<RowChange>, Findings> {
    let mut findings = Findings::default();
    let mut parsed = Vec::with_capacity(changes.len());
    for (position, change) in changes.iter().enumerate() {
        let place = format!("changes[{position}] {}", change.row);
        match (&change.fields, change.delete) {
            (Some(fields), false) => {
                let row = row_from_json(&place, &change.row, fields, &mut findings);
                parsed.extend(row.map(|(key, row)| RowChange {
                    key,
                    row: Some(row),
                }));
            }
            (None, true) => {
                let key = parse_key(&place, &change.row, &mut findings);
                parsed.extend(key.map(|key| RowChange { key, row: None }));
            }
            _ => findings.add(place, "needs either fields or delete"),
        }
    }
    findings.into_result(parsed)
}

fn parse_key(place: &str, key: &str, findings: &mut Findings) -> Option<RowKey> {
    match key.parse() {
        Ok(key) => Some(key),
        Err(reason) => {
            findings.add(place, reason);
            None
        }
    }
}
