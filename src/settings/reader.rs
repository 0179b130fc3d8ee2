//! Typed access to an INI file that collects every error with its line number.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use ini::Ini;

use crate::findings::Findings;

/// Reads keys of an INI file. Keys in the file that were never requested are errors.
pub(super) struct Reader {
    file: String,
    ini: Ini,
    lines: BTreeMap<(String, String), usize>,
    requested: BTreeSet<(String, String)>,
    findings: Findings,
}

impl Reader {
    /// Fails if the text is not valid INI.
    pub(super) fn new(file: &str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let lines = line_numbers(file, text, &mut findings);
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok(Self {
                file: file.to_owned(),
                ini,
                lines,
                requested: BTreeSet::new(),
                findings,
            }),
            Err(error) => {
                findings.add(format!("{file}:{}", error.line + 1), error.msg.to_string());
                Err(findings)
            }
        }
    }

    /// Returns true if the file has the section.
    pub(super) fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns the names of all sections that start with `prefix`, with the prefix removed.
    pub(super) fn sections_with_prefix(&self, prefix: &str) -> Vec<String> {
        let names = self.ini.sections().flatten();
        names
            .filter_map(|name| name.strip_prefix(prefix))
            .map(str::to_owned)
            .collect()
    }

    /// Returns a key's value; adds an error and returns `None` if it is missing or malformed.
    pub(super) fn required<T>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.optional(section, key);
        if value.is_none() && self.raw(section, key).is_none() {
            self.add_error(section, key, "is missing");
        }
        value
    }

    /// Returns a required name of letters, digits, `-` and `_`. Dots are not allowed because they
    /// separate the names in event ids.
    pub(super) fn name(&mut self, section: &str, key: &str) -> String {
        let name: String = self.required(section, key).unwrap_or_default();
        let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
        if !name.chars().all(allowed) {
            let reason = format!("is {name:?}; letters, digits, - and _ are allowed");
            self.add_error(section, key, &reason);
        }
        name
    }

    /// Returns a key's value; `None` if it is absent, or malformed, which adds an error.
    pub(super) fn optional<T>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let raw = self.raw(section, key)?;
        match raw.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_error(section, key, &format!("has the value {raw:?}: {error}"));
                None
            }
        }
    }

    /// Returns a key's value, or the default if it is absent or malformed.
    pub(super) fn or_default<T>(&mut self, section: &str, key: &str, default: T) -> T
    where
        T: FromStr<Err: Display>,
    {
        self.optional(section, key).unwrap_or(default)
    }

    /// Returns a number; adds an error and returns the default if it is out of bounds.
    pub(super) fn bounded<T>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        bounds: RangeInclusive<T>,
    ) -> T
    where
        T: FromStr<Err: Display> + PartialOrd + Display,
    {
        match self.optional(section, key) {
            Some(value) if bounds.contains(&value) => value,
            Some(value) => {
                let reason = format!("is {value}, outside {} to {}", bounds.start(), bounds.end());
                self.add_error(section, key, &reason);
                default
            }
            None => default,
        }
    }

    /// Returns the values of a comma-separated list; an absent key is an empty list.
    pub(super) fn list<T>(&mut self, section: &str, key: &str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let raw = self.raw(section, key).unwrap_or_default();
        let mut values = Vec::new();
        for item in raw
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
        {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    self.add_error(section, key, &format!("has the item {item:?}: {error}"));
                }
            }
        }
        values
    }

    /// Adds an error at a key, or at a section if `key` is empty.
    pub(super) fn add_error(&mut self, section: &str, key: &str, reason: &str) {
        let place = (section.to_owned(), key.to_owned());
        let section_place = (section.to_owned(), String::new());
        let line = self
            .lines
            .get(&place)
            .or_else(|| self.lines.get(&section_place));
        let place = match line {
            Some(line) => format!("{}:{line} [{section}] {key}", self.file),
            None => format!("{} [{section}] {key}", self.file),
        };
        self.findings.add(place, reason);
    }

    /// Adds an error that concerns the whole file.
    pub(super) fn add_file_error(&mut self, reason: &str) {
        self.findings.add(self.file.clone(), reason);
    }

    /// Returns every section and key that was requested.
    pub(super) fn requested_keys(self) -> BTreeSet<(String, String)> {
        self.requested
    }

    /// Returns `value` if there are no errors; unknown sections and keys are errors.
    pub(super) fn finish<T>(mut self, value: T) -> Result<T, Findings> {
        let unknown: Vec<_> = self
            .lines
            .keys()
            .filter(|place| !self.requested.contains(*place))
            .cloned()
            .collect();
        for (section, key) in unknown {
            let known = self
                .requested
                .iter()
                .any(|(requested, _)| *requested == section);
            match key.as_str() {
                "" if known => {}
                "" => self.add_error(&section, "", "is not a known section"),
                _ if known => self.add_error(&section, &key, "is not a known key"),
                _ => {}
            }
        }
        self.findings.into_result(value)
    }

    fn raw(&mut self, section: &str, key: &str) -> Option<String> {
        self.requested.insert((section.to_owned(), key.to_owned()));
        let value = self.ini.section(Some(section))?.get(key)?;
        Some(value.trim().to_owned())
    }
}

/// Returns the line number of each section and key, which has an empty key for a section. Sections
/// and keys that are given twice are errors.
fn line_numbers(
    file: &str,
    text: &str,
    findings: &mut Findings,
) -> BTreeMap<(String, String), usize> {
    let mut lines = BTreeMap::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let number = index + 1;
        let key = match line.split_once('=') {
            _ if line.starts_with(['#', ';']) => continue,
            _ if line.starts_with('[') => {
                line.trim_matches(['[', ']']).clone_into(&mut section);
                String::new()
            }
            Some((key, _)) => key.trim().to_owned(),
            None => continue,
        };
        let place = (section.clone(), key.clone());
        if let Some(first) = lines.insert(place, number) {
            findings.add(
                format!("{file}:{number} [{section}] {key}"),
                format!("is given twice; first on line {first}"),
            );
        }
    }
    lines
}
