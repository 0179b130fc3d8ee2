//! Built-in settings and rows for a trial on one machine: all roles and the stand-ins in one process.

use std::net::SocketAddr;
use std::path::Path;

use crate::findings::Findings;
use crate::settings::Settings;

/// Returns settings for one process with every role, its stand-ins at the given addresses.
pub fn standalone_settings(
    entry: SocketAddr,
    admin: SocketAddr,
    engine: SocketAddr,
    service: SocketAddr,
    data_folder: &Path,
) -> Result<Settings, Findings> {
    let text = format!(
        "\
[instance]
name = standalone
zone = local
rpc_address = 127.0.0.1:0
admin_address = {admin}
admin_token = standalone

[control]
data_folder = {folder}

[entry]
http_address = {entry}

[sidecar]

[upstream engine-1]
model = tutor
url = http://{engine}
checks_fence = true

[upstream service-1]
service = cards
url = http://{service}

[standin]
engine_address = {engine}
service_address = {service}
",
        folder = data_folder.display(),
    );
    Settings::parse("built-in settings", &text)
}

/// Returns the rows that a standalone process starts with, in the format of `table apply`.
pub fn standalone_table() -> &'static str {
    "\
[workspace/demo]
weight = 10
max_tokens = 4096

[model/tutor]
version = v1

[service/cards]
repeatable = true
deadline_ms = 5000

[kind/*/essay]
lane = long
repeatable = true
deadline_ms = 600000
target = model/tutor

[kind/*/hint]
lane = small
repeatable = true
deadline_ms = 60000
target = model/tutor
"
}
