//! The other side of the protocol, for stand-ins of callers, replicas, the instance list and
//! operators.

mod callers;
mod documents;
mod faults;
mod list;
mod replicas;

pub(crate) use callers::{CallHead, GenerationSize, encode_call_head};
pub(crate) use documents::{decode_version, encode_document, encode_route};
pub(crate) use faults::{DOCUMENT_FAULTS, encode_faulty_document};
pub(crate) use list::{encode_page, first_of_page};
pub(crate) use replicas::{
    Execution, ReplicaRequest, decode_move_call, decode_request, encode_copy, encode_execution,
    encode_identity, encode_no_copy, encode_report, parse_copy,
};

/// The model of every engine.
const MODEL: &str = "m";
