//! Cases of the third review that are played with real processes. Each exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod crash;
mod engine;
mod list;
mod net;
mod plain;
mod site;
mod slow;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, case, identity, address, born, record] = arguments.as_slice()
        && case == "engine"
    {
        crash::serve_engine(identity, address, born, &site::Record::create(record));
    }
    if let [_, case, identity, address] = arguments.as_slice()
        && case == "plain"
    {
        plain::serve_plain(identity, address);
    }
    let [_, case, record] = arguments.as_slice() else {
        site::cannot_run("usage: cases CASE RECORD");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = site::Record::create(record);
    record.line(&format!("case {case}, with its disruption: {trouble}"));
    let broken = match case.as_str() {
        "slow-callers" => slow::run(&record, trouble),
        "crashed-server" => crash::run(&record, trouble),
        "crashed-plain-server" => plain::run(&record, trouble),
        "unreadable-entry" => list::unreadable(&record, trouble),
        "other-service" => list::other_service(&record, trouble),
        other => site::cannot_run(&format!("unknown case {other}")),
    };
    record.line(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    std::process::exit(i32::from(broken));
}
