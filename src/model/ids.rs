//! Version numbers and random identifiers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::InstanceName;

macro_rules! number {
    ($(#[$doc:meta])* $type:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $type(pub $inner);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number!(
    /// The version of the replicated view: the index of the last log entry that changed it.
    TableVersion,
    u64
);
number!(
    /// A fencing number: the log index of the registration that it was issued for.
    Fence,
    u64
);

macro_rules! random_id {
    ($(#[$doc:meta])* $type:ident, $inner:ty, $format:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $type(pub $inner);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(<$inner>::from_str_radix(text, 16)?))
            }
        }
    };
}

random_id!(
    /// A random number that identifies one run of a process.
    Incarnation,
    u64,
    "{:016x}"
);
random_id!(
    /// Identifies one attempt to generate a response.
    GenerationId,
    u128,
    "{:032x}"
);
random_id!(
    /// Identifies a caller's request in the logs of all processes.
    RequestId,
    u128,
    "{:032x}"
);

/// The error of a text that is not a hexadecimal identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError(ParseIntError);

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a hexadecimal identifier: {}", self.0)
    }
}

impl std::error::Error for ParseIdError {}

impl From<ParseIntError> for ParseIdError {
    fn from(error: ParseIntError) -> Self {
        Self(error)
    }
}

/// One run of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceRef {
    pub name: InstanceName,
    pub incarnation: Incarnation,
}
