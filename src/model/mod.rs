//! Names, identifiers and outcomes that all modules share.

mod ids;
mod names;
mod outcome;

pub use ids::{
    Fence, GenerationId, Incarnation, InstanceRef, ParseIdError, RequestId, TableVersion,
};
pub use names::{
    InstanceName, KindName, ModelName, ServiceName, UpstreamName, WorkspaceName, ZoneName,
};
pub use outcome::{Outcome, Refusal, RefusalCode};
