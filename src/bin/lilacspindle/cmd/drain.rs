//! `drain`: makes an instance leave.

use lilacspindle::roles::control::operator_api::drain;

use super::{Exit, client, failed, print_json};
use crate::cli::Options;

pub async fn run(options: &Options, instance: &str) -> Exit {
    let client = match client(options) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    match drain(&client, instance).await {
        Ok(reply) if options.json => print_json(&reply),
        Ok(reply) => say!(
            "{} ({}) is {}",
            reply.instance,
            reply.incarnation,
            reply.phase
        ),
        Err(error) => return failed(options, &error),
    }
    Exit::Ok
}
