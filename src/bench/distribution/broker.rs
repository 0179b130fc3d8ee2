//! Measures the CPU time of the room broker when many entries renew leases on many rows.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::domain::room::{Broker, EntryMember, RoomKey, RoomTimes};
use crate::domain::table::{Row, RowKey, Table, WorkspaceRow};
use crate::model::{Incarnation, InstanceName, InstanceRef, TableVersion, WorkspaceName};
use crate::rpc::control::{RoomDemand, RoomRequest};
use crate::rpc::{Stamp, encode};

/// Number of renewals per entry.
const RENEWALS_PER_ENTRY: u32 = 4;

/// The cost of the broker at one number of entries and workspaces.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BrokerPoint {
    pub entries: u32,
    /// Workspaces in which every entry holds slots.
    pub workspaces: u32,
    /// Mean time to answer one entry's renewal of all its rows.
    pub renewal_ms: f64,
    /// Percentage of one core if each entry renews once per second.
    pub cpu_percent: f64,
    pub request_bytes: usize,
}

/// Measures renewals of all entries, each for all workspaces.
pub(super) fn measure(entries: u32, workspaces: u32) -> BrokerPoint {
    let table = workspace_table(workspaces);
    let members: Vec<EntryMember> = (0..entries).map(entry_member).collect();
    let times = RoomTimes {
        grace_ms: 0,
        ..RoomTimes::default()
    };
    let mut broker = Broker::new(times, 0);
    let mut request_bytes = 0;
    let mut busy_s = 0.0;
    for round in 1..=RENEWALS_PER_ENTRY {
        for member in &members {
            let request = renewal_request(member, workspaces, u64::from(round));
            request_bytes = encode(&request).map_or(0, |bytes| bytes.len());
            let limit = |key: &RoomKey| key.limit(&table);
            let started = Instant::now();
            let answer = broker.answer(&request, &members, limit, u64::from(round) * 1_000);
            busy_s += started.elapsed().as_secs_f64();
            assert!(answer.is_ok_and(|answer| answer.violations.is_empty()));
        }
    }
    let renewal_ms = busy_s * 1_000.0 / f64::from(RENEWALS_PER_ENTRY * entries.max(1));
    BrokerPoint {
        entries,
        workspaces,
        renewal_ms,
        cpu_percent: renewal_ms * f64::from(entries) / 10.0,
        request_bytes,
    }
}

fn workspace_table(workspaces: u32) -> Table {
    let mut table = Table::default();
    for number in 0..workspaces {
        let row = Row::Workspace(WorkspaceRow {
            weight: 1,
            room_slots: Some(100),
            api_key_sha256: None,
            max_tokens: 4_096,
        });
        table.rows.insert(
            RowKey::Workspace(workspace_name(number)),
            (TableVersion(1), row),
        );
    }
    table
}

fn workspace_name(number: u32) -> WorkspaceName {
    WorkspaceName::from(format!("workspace-{number}").as_str())
}

fn entry_member(number: u32) -> EntryMember {
    EntryMember {
        instance: InstanceRef {
            name: InstanceName::from(format!("entry-{number}").as_str()),
            incarnation: Incarnation(1),
        },
        gone: false,
    }
}

fn renewal_request(member: &EntryMember, workspaces: u32, sequence: u64) -> RoomRequest {
    let demand = |number: u32| RoomDemand {
        workspace: workspace_name(number),
        kind: None,
        used_slots: 1,
        wanted_slots: 3,
        held_slots: u32::from(sequence > 1) * 3,
    };
    RoomRequest {
        stamp: Stamp {
            sender: member.instance.clone(),
            table_version: TableVersion(1),
            leaving: false,
        },
        sequence,
        running_ms: 60_000,
        partial: false,
        demands: (0..workspaces).map(demand).collect(),
        adopts: Vec::new(),
    }
}
