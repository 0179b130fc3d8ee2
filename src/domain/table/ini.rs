//! The table as INI text, and the difference between two tables.

use std::collections::BTreeMap;
use std::fmt::Write;

use ini::{Ini, ParseOption};

use super::{Fields, Row, RowKey};
use crate::domain::state::RowChange;
use crate::findings::Findings;

/// Table rows without their versions.
pub type Rows = BTreeMap<RowKey, Row>;

/// Formats the rows as INI text with one section per row.
pub fn to_ini(rows: &Rows) -> String {
    let mut text = String::new();
    for (key, row) in rows {
        let _ = writeln!(text, "[{key}]");
        for (name, value) in row.fields() {
            let _ = writeln!(text, "{name} = {value}");
        }
        text.push('\n');
    }
    text
}

/// Parses rows from INI text, or returns every fault with its file, line, row and field. `file` is
/// only used to name the place of a fault.
pub fn from_ini(file: &str, text: &str) -> Result<Rows, Findings> {
    let mut findings = Findings::default();
    // Model versions may contain quotes, which are taken literally.
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = match Ini::load_from_str_opt(text, options) {
        Ok(ini) => ini,
        Err(error) => {
            findings.add(format!("{file}:{}", error.line + 1), error.msg.to_string());
            return Err(findings);
        }
    };
    let lines = section_lines(text);
    let mut rows = Rows::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        let line = lines.get(section).copied();
        let place = move |name: &str| match line {
            Some(line) => format!("{file}:{line} [{section}] {name}")
                .trim_end()
                .to_owned(),
            None => format!("{file} [{section}] {name}").trim_end().to_owned(),
        };
        if section.is_empty() && properties.is_empty() {
            continue;
        }
        let key = match section.parse::<RowKey>() {
            Ok(key) => key,
            Err(reason) => {
                findings.add(place(""), reason);
                continue;
            }
        };
        let mut fields = Fields::new();
        for (name, value) in properties {
            if fields.insert(name.to_owned(), value.to_owned()).is_some() {
                findings.add(place(name), "is given twice");
            }
        }
        let row = Row::parse(&key, &fields, &place, &mut findings);
        if let Some(row) = row
            && rows.insert(key, row).is_some()
        {
            findings.add(place(""), "is given twice");
        }
    }
    findings.into_result(rows)
}

/// Returns the line number of the first header of each section.
fn section_lines(text: &str) -> BTreeMap<&str, usize> {
    let mut lines = BTreeMap::new();
    for (index, line) in text.lines().enumerate() {
        let name = line
            .trim()
            .strip_prefix('[')
            .and_then(|rest| rest.split_once(']'));
        if let Some((name, _)) = name {
            lines.entry(name.trim()).or_insert(index + 1);
        }
    }
    lines
}

/// Returns the changes that turn `old` into `new`.
pub fn diff(old: &Rows, new: &Rows) -> Vec<RowChange> {
    let deleted = old.keys().filter(|key| !new.contains_key(*key));
    let deleted = deleted.map(|key| RowChange {
        key: key.clone(),
        row: None,
    });
    let set = new.iter().filter(|(key, row)| old.get(*key) != Some(row));
    let set = set.map(|(key, row)| RowChange {
        key: key.clone(),
        row: Some(row.clone()),
    });
    deleted.chain(set).collect()
}

/// Formats changes as a section header per row and one line per changed field: `-` with the old
/// value, `+` with the new value.
pub fn render_diff(old: &Rows, changes: &[RowChange]) -> String {
    let mut text = String::new();
    for RowChange { key, row } in changes {
        let fields = |row: Option<&Row>| row.map(Row::fields).unwrap_or_default();
        let (before, after) = (fields(old.get(key)), fields(row.as_ref()));
        let _ = writeln!(text, "[{key}]");
        for (name, value) in before.iter().filter(|field| !after.contains(field)) {
            let _ = writeln!(text, "- {name} = {value}");
        }
        for (name, value) in after.iter().filter(|field| !before.contains(field)) {
            let _ = writeln!(text, "+ {name} = {value}");
        }
    }
    text
}
