//! Names as shared immutable strings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $type(pub Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name!(
    /// The name of an instance, which stays the same over restarts.
    InstanceName
);
name!(
    /// The name of an availability zone.
    ZoneName
);
name!(
    /// The name of a workspace, to which capacity shares and limits apply.
    WorkspaceName
);
name!(
    /// The name of a kind of request.
    KindName
);
name!(
    /// The name of a model.
    ModelName
);
name!(
    /// The name of a plain service.
    ServiceName
);
name!(
    /// The name of one upstream instance: an engine replica or a service replica.
    UpstreamName
);
