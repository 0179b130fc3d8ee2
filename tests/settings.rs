//! Settings: every fault of a file is reported at once, each with its place.

use std::path::Path;

use lilacspindle::settings::Settings;

const SIX_FAULTS: &str = "\
[instance]
name = a
zone = z1
rpc_address = nowhere
admin_address = 127.0.0.1:0
stale_limit_ms = 5
stale_policy = maybe
[entry]
http_address = 127.0.0.1:0
colour = red
body_limit_bytes = many
";

/// Guards against a parser that stops at the first fault.
#[test]
fn six_faults_are_all_named() {
    let findings = Settings::parse("test.ini", SIX_FAULTS).unwrap_err();
    let text = findings.to_string();
    for place in [
        "test.ini:4 [instance] rpc_address",
        "test.ini:6 [instance] stale_limit_ms",
        "test.ini:7 [instance] stale_policy",
        "[instance] control_addresses",
        "test.ini:10 [entry] colour",
        "test.ini:11 [entry] body_limit_bytes",
    ] {
        assert!(text.contains(place), "{place} is not named in:\n{text}");
    }
    assert_eq!(findings.0.len(), 6, "{text}");
}

/// Guards against example settings that the program no longer reads.
#[test]
fn examples_of_both_sites_are_valid() {
    let mut checked = 0;
    for site in ["chalkline", "atlas-pneus", "bench"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(site);
        for file in std::fs::read_dir(folder).unwrap() {
            let path = file.unwrap().path();
            if path.file_name().unwrap() == "table.ini" {
                continue;
            }
            if let Err(findings) = Settings::load(&path) {
                panic!("{findings}");
            }
            checked += 1;
        }
    }
    assert_eq!(checked, 20);
}

/// Guards against settings that the documentation does not describe, and the other way round.
#[test]
fn documentation_lists_every_key() {
    let page = include_str!("../docs/configuration.md");
    let mut documented = std::collections::BTreeSet::new();
    let mut section = String::new();
    for line in page.lines() {
        if let Some(heading) = line.strip_prefix("## `[") {
            heading.trim_end_matches("]`").clone_into(&mut section);
        }
        if let Some(key) = line
            .strip_prefix("| `")
            .and_then(|rest| rest.split('`').next())
        {
            documented.insert((section.clone(), key.to_owned()));
        }
    }
    assert_eq!(documented, Settings::known_keys());
}
