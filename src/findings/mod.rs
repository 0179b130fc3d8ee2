//! Validation errors of an input, each with its location, reported together.

use std::error::Error;
use std::fmt;

use serde::{Deserialize, Serialize};

/// One error in an input and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// File and line, section and key, or row and field.
    pub place: String,
    /// What is wrong and which values are valid.
    pub reason: String,
}

/// All errors found in one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds an error.
    pub fn add(&mut self, place: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Finding {
            place: place.into(),
            reason: reason.into(),
        });
    }

    /// Returns true if no error was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `value` if no error was found, and the findings otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {}", finding.place, finding.reason)?;
        }
        Ok(())
    }
}

impl Error for Findings {}
