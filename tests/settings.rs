//! Settings files: every error is reported at once with its location.

use std::path::Path;

use lilacspindle::settings::Settings;

const SIX_ERRORS: &str = "\
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

/// Guards against a parser that stops at the first error.
#[test]
fn all_errors_of_a_file_are_reported() {
    let findings = Settings::parse("test.ini", SIX_ERRORS).unwrap_err();
    let text = findings.to_string();
    for place in [
        "test.ini:4 [instance] rpc_address",
        "test.ini:6 [instance] stale_limit_ms",
        "test.ini:7 [instance] stale_policy",
        "[instance] control_addresses",
        "test.ini:10 [entry] colour",
        "test.ini:11 [entry] body_limit_bytes",
    ] {
        assert!(text.contains(place), "{place} is not reported in:\n{text}");
    }
    assert_eq!(findings.0.len(), 6, "{text}");
}

/// Guards against example settings that the program no longer accepts.
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

/// Guards against settings missing from the documentation, and documented settings that do not
/// exist.
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

/// Guards against deployment templates that the program does not accept.
#[test]
fn deployment_templates_are_valid() {
    for (name, template) in [
        ("control", include_str!("../deploy/control.ini.tmpl")),
        ("entry", include_str!("../deploy/entry.ini.tmpl")),
        ("sidecar", include_str!("../deploy/sidecar.ini.tmpl")),
    ] {
        let text = [
            ("{{nodeName}}", "frontend-a-1"),
            ("{{zone}}", "a"),
            ("{{#zones}}{{@}}{{,}}{{/zones}}", "a,b,c"),
            ("{{ipAddress}}", "10.1.0.24"),
            ("{{internalPortRange.0}}", "7200"),
            ("{{seedNodes}}", "10.1.0.24:8748,10.2.0.20:8748"),
            ("{{listenAddresses.control}}", "10.1.0.24:8748"),
            ("{{listenAddresses.front}}", "10.1.0.24:8740"),
            ("{{listenAddresses.ready}}", "10.1.0.24:8749"),
            ("{{dataDirectory}}", "/data/control"),
            ("{{cloud.address}}", "10.200.0.63:8742"),
            ("{{bootstrap}}", "true"),
            ("{{faultTolerance.machines}}", "1"),
            ("{{app}}", "10.1.0.26:8745"),
            ("{{service}}", "model"),
            ("{{bounds.gracePeriodS}}", "8"),
            ("{{bounds.reuseAfterS}}", "2"),
            ("{{bounds.retryBudgetRatio}}", "0.2"),
            ("{{bounds.retryBudgetSlack}}", "58"),
            ("{{bounds.retryWindowS}}", "10"),
        ]
        .into_iter()
        .fold(template.to_owned(), |text, (name, value)| {
            text.replace(name, value)
        });
        assert!(
            !text.contains("{{"),
            "unknown placeholder in {name}: {text}"
        );
        match Settings::parse(name, &text) {
            Ok(settings) => {
                let addresses = settings.control_rpc_addresses();
                assert!(addresses.iter().all(|address| address.port() == 7_200));
            }
            Err(findings) => panic!("{findings}"),
        }
    }
}

/// Guards against errors of the gateway, directory and reporter roles that are not all reported.
#[test]
fn all_errors_of_site_roles_are_reported() {
    let text = "[instance]\nname = a\nzone = z\nrpc_address = 127.0.0.1:1\n\
        admin_address = 127.0.0.1:2\ncontrol_rpc_port = 70000\n[gateway]\n\
        http_address = here\ngrace_ms = 1\nretry_ratio = -1\nready = 127.0.0.1:3\n";
    let findings = Settings::parse("test.ini", text).unwrap_err().to_string();
    for place in [
        "test.ini:6 [instance] control_rpc_port",
        "[instance] control_addresses",
        "test.ini:8 [gateway] http_address",
        "test.ini:9 [gateway] grace_ms",
        "test.ini:10 [gateway] retry_ratio",
        "test.ini:11 [gateway] ready",
        "[gateway] ready_address",
    ] {
        assert!(
            findings.contains(place),
            "{place} is not reported in:\n{findings}"
        );
    }
}
