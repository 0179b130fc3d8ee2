//! The history of operations on a versioned register, and the check that it is linearizable.

use std::collections::BTreeMap;

use super::Register;

#[derive(Clone, Debug)]
struct Operation {
    edit: bool,
    began_ms: u64,
    /// End time, register seen, and whether an edit was accepted; `None` while the outcome is
    /// unknown.
    result: Option<(u64, Register, bool)>,
}

/// Operations by id; the id of an accepted edit is the value that it wrote.
#[derive(Default)]
pub struct History {
    operations: BTreeMap<u64, Operation>,
    /// Value of each version, as observed in the state machines.
    values: BTreeMap<u64, u64>,
    conflicts: Vec<String>,
    next: u64,
}

impl History {
    pub fn begin(&mut self, now_ms: u64, edit: bool) -> u64 {
        self.next += 1;
        let operation = Operation {
            edit,
            began_ms: now_ms,
            result: None,
        };
        self.operations.insert(self.next, operation);
        self.next
    }

    /// Removes an operation that is certain to have had no effect.
    pub fn discard(&mut self, id: u64) {
        self.operations.remove(&id);
    }

    pub fn observe(&mut self, register: Register) {
        let value = *self
            .values
            .entry(register.version)
            .or_insert(register.value);
        if value != register.value {
            self.conflicts.push(format!(
                "{register:?}, but the version had value {value} before"
            ));
        }
    }

    pub fn complete(&mut self, id: u64, now_ms: u64, register: Register, accepted: bool) {
        self.observe(register);
        if let Some(operation) = self.operations.get_mut(&id) {
            operation.result = Some((now_ms, register, accepted));
        }
    }

    pub fn completed(&self) -> usize {
        self.operations
            .values()
            .filter(|operation| operation.result.is_some())
            .count()
    }

    /// Returns an error with the reason if the history is not linearizable.
    ///
    /// Versions order all operations: an accepted edit creates a version, while reads and refused
    /// edits see one. The history is linearizable if and only if each version has one value,
    /// written by one edit, and no operation sees an older version than one that ended before it
    /// began. An accepted edit must create a newer version than such an operation saw.
    pub fn check(&self) -> Result<(), String> {
        if let Some(conflict) = self.conflicts.first() {
            return Err(conflict.clone());
        }
        let writes: BTreeMap<u64, u64> = self.values.iter().map(|(v, id)| (*id, *v)).collect();
        if writes.len() != self.values.len() {
            return Err("an edit created two versions".to_owned());
        }
        // Begin, end, version, and whether the operation created the version.
        let mut spans = Vec::new();
        for (id, operation) in &self.operations {
            match (operation.result, writes.get(id)) {
                (Some((end, register, accepted)), written) => {
                    if operation.edit && accepted != written.is_some() {
                        return Err(format!("edit {id}: accepted {accepted}, wrote {written:?}"));
                    }
                    spans.push((operation.began_ms, end, register.version, accepted));
                }
                // An edit that took effect without an answer has no known end.
                (None, Some(version)) => spans.push((operation.began_ms, u64::MAX, *version, true)),
                (None, None) => {}
            }
        }
        let mut ends: Vec<(u64, u64)> = spans
            .iter()
            .map(|(_, end, version, _)| (*end, *version))
            .collect();
        ends.sort_unstable();
        spans.sort_unstable();
        let (mut highest, mut position) = (0, 0);
        for (began, _, version, created) in spans {
            while position < ends.len() && ends[position].0 < began {
                highest = highest.max(ends[position].1);
                position += 1;
            }
            if version < highest + u64::from(created) {
                return Err(format!(
                    "version {version} seen from {began} ms on, after {highest}"
                ));
            }
        }
        Ok(())
    }
}
