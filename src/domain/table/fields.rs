//! Conversion between rows and named text fields, as used in INI, JSON and on the command line.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use super::{KindRow, LimitRow, ModelRow, Row, RowKey, ServiceRow, Target, WorkspaceRow};
use crate::findings::Findings;
use crate::rpc::sidecar::Lane;

/// The fields of a row as text, by name. An empty field counts as absent.
pub type Fields = BTreeMap<String, String>;

/// The type of a field in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldType {
    Number,
    Bool,
    Text,
}

/// Returns the type of a field. Unknown fields count as text; parsing the row reports them.
pub fn field_type(name: &str) -> FieldType {
    match name {
        "weight" | "room_slots" | "max_tokens" | "deadline_ms" | "value" => FieldType::Number,
        "repeatable" => FieldType::Bool,
        _ => FieldType::Text,
    }
}

const KEY_RULE: &str = "expected workspace/<name>, kind/<workspace or *>/<name>, model/<name>, \
                        service/<name> or limit/<name>";

impl FromStr for RowKey {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('/').collect();
        match parts[..] {
            _ if parts.contains(&"") => Err(KEY_RULE),
            ["workspace", name] => Ok(Self::Workspace(name.into())),
            ["kind", "*", name] => Ok(Self::Kind(None, name.into())),
            ["kind", workspace, name] => Ok(Self::Kind(Some(workspace.into()), name.into())),
            ["model", name] => Ok(Self::Model(name.into())),
            ["service", name] => Ok(Self::Service(name.into())),
            ["limit", name] => Ok(Self::Limit(name.to_owned())),
            _ => Err(KEY_RULE),
        }
    }
}

impl Row {
    /// Returns the names and values of all fields that have a value.
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let fields = match self {
            Self::Workspace(row) => vec![
                ("weight", Some(row.weight.to_string())),
                ("room_slots", row.room_slots.map(|slots| slots.to_string())),
                ("max_tokens", Some(row.max_tokens.to_string())),
                ("api_key_sha256", row.api_key_sha256.clone()),
            ],
            Self::Kind(row) => vec![
                ("lane", Some(lane_text(row.lane).to_owned())),
                ("repeatable", Some(row.repeatable.to_string())),
                ("room_slots", row.room_slots.map(|slots| slots.to_string())),
                ("deadline_ms", Some(row.deadline_ms.to_string())),
                target_field(&row.target),
            ],
            Self::Model(row) => vec![
                ("version", Some(row.version.clone())),
                ("prepare_version", row.prepare_version.clone()),
                ("adapter", row.adapter.clone()),
            ],
            Self::Service(row) => vec![
                ("repeatable", Some(row.repeatable.to_string())),
                ("deadline_ms", Some(row.deadline_ms.to_string())),
            ],
            Self::Limit(row) => vec![("value", Some(row.value.to_string()))],
        };
        fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)))
            .collect()
    }

    /// Parses the row of a key from its fields, or adds every fault to the findings. `place`
    /// returns the location of a field for a finding, for instance file, line, section and field
    /// name.
    pub fn parse(
        key: &RowKey,
        fields: &Fields,
        place: &dyn Fn(&str) -> String,
        findings: &mut Findings,
    ) -> Option<Self> {
        let mut reader = FieldReader {
            fields,
            known: BTreeSet::new(),
            place,
            findings: Findings::default(),
        };
        let row = reader.row(key);
        let unknown = fields
            .keys()
            .filter(|name| !reader.known.contains(name.as_str()));
        for name in unknown {
            let known: Vec<_> = reader.known.iter().copied().collect();
            let reason = format!("is not a known field; expected {}", known.join(", "));
            reader.findings.add(place(name), reason);
        }
        let is_valid = reader.findings.is_empty();
        findings.0.append(&mut reader.findings.0);
        row.filter(|_| is_valid)
    }
}

fn lane_text(lane: Lane) -> &'static str {
    match lane {
        Lane::Small => "small",
        Lane::Long => "long",
    }
}

fn target_field(target: &Target) -> (&'static str, Option<String>) {
    match target {
        Target::Model(name) => ("model", Some(name.to_string())),
        Target::Service(name) => ("service", Some(name.to_string())),
    }
}

/// Reads the fields of one row and collects faults.
struct FieldReader<'a> {
    fields: &'a Fields,
    /// Names of the fields read so far; any other field of the row is unknown.
    known: BTreeSet<&'static str>,
    place: &'a dyn Fn(&str) -> String,
    findings: Findings,
}

impl FieldReader<'_> {
    fn row(&mut self, key: &RowKey) -> Option<Row> {
        match key {
            RowKey::Workspace(_) => {
                let weight = self.required("weight");
                let room_slots = self.optional("room_slots");
                let max_tokens = self.required("max_tokens");
                Some(Row::Workspace(WorkspaceRow {
                    weight: weight?,
                    room_slots,
                    api_key_sha256: self.optional("api_key_sha256"),
                    max_tokens: max_tokens?,
                }))
            }
            RowKey::Kind(..) => self.kind_row(),
            RowKey::Model(_) => {
                let (prepare_version, adapter) =
                    (self.optional("prepare_version"), self.optional("adapter"));
                Some(Row::Model(ModelRow {
                    version: self.required("version")?,
                    prepare_version,
                    adapter,
                }))
            }
            RowKey::Service(_) => {
                let (repeatable, deadline_ms) =
                    (self.required("repeatable"), self.required("deadline_ms"));
                Some(Row::Service(ServiceRow {
                    repeatable: repeatable?,
                    deadline_ms: deadline_ms?,
                }))
            }
            RowKey::Limit(_) => Some(Row::Limit(LimitRow {
                value: self.required("value")?,
            })),
        }
    }

    fn kind_row(&mut self) -> Option<Row> {
        let lane = self.lane();
        let repeatable = self.required("repeatable");
        let room_slots = self.optional("room_slots");
        let deadline_ms = self.required("deadline_ms");
        let target = self.target();
        Some(Row::Kind(KindRow {
            lane: lane?,
            repeatable: repeatable?,
            room_slots,
            deadline_ms: deadline_ms?,
            target: target?,
        }))
    }

    fn lane(&mut self) -> Option<Lane> {
        match self.required::<String>("lane")?.as_str() {
            "small" => Some(Lane::Small),
            "long" => Some(Lane::Long),
            _ => {
                self.report("lane", "must be small or long");
                None
            }
        }
    }

    fn target(&mut self) -> Option<Target> {
        let model = self.optional::<String>("model");
        let service = self.optional::<String>("service");
        match (model, service) {
            (Some(model), None) => Some(Target::Model(model.as_str().into())),
            (None, Some(service)) => Some(Target::Service(service.as_str().into())),
            (None, None) => {
                self.report("model", "is missing; give a model or a service");
                None
            }
            (Some(_), Some(_)) => {
                self.report("service", "is given beside model; give one of them");
                None
            }
        }
    }

    fn required<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Option<T> {
        if self.non_empty(name).is_none() {
            self.report(name, "is missing");
        }
        self.optional(name)
    }

    fn optional<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Option<T> {
        match self.non_empty(name)?.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                // The value is not shown, as it may be a secret entered in the wrong field.
                self.report(name, &format!("is malformed: {error}"));
                None
            }
        }
    }

    fn non_empty(&mut self, name: &'static str) -> Option<&str> {
        self.known.insert(name);
        let value = self.fields.get(name)?.trim();
        (!value.is_empty()).then_some(value)
    }

    fn report(&mut self, name: &str, reason: &str) {
        self.findings.add((self.place)(name), reason);
    }
}
