//! `drain`: lets an instance finish its work and leave.

use lilacspindle::roles::control::operator_api::drain;

use super::{Exit, client, print_error, print_json};
use crate::cli::Options;

pub async fn run(options: &Options, instance: &str) -> Exit {
    let client = match client(options) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    match drain(&client, instance).await {
        Ok(reply) if options.json => print_json(&reply),
        Ok(reply) => print_line!(
            "{} ({}) is {}",
            reply.instance,
            reply.incarnation,
            reply.phase
        ),
        Err(error) => return print_error(options, &error),
    }
    Exit::Ok
}
