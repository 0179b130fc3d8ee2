//! The cost of the broker: full renewals of many entries over many rows.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::domain::room::{Broker, EntryMember, RoomKey, RoomTimes};
use crate::domain::table::{Row, RowKey, Table, WorkspaceRow};
use crate::model::{Incarnation, InstanceName, InstanceRef, TableVersion, WorkspaceName};
use crate::rpc::control::{RoomRequest, RoomWant};
use crate::rpc::{Stamp, encode};

/// Rounds in which each entry renews once.
const ROUNDS: u32 = 4;

/// The cost of the broker at one size.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BrokerPoint {
    pub entries: u32,
    /// Workspaces in which every entry uses slots.
    pub workspaces: u32,
    /// Mean time of one full renewal of one entry.
    pub renewal_ms: f64,
    /// Share of a core when each entry renews once a second.
    pub cpu_percent: f64,
    pub request_bytes: usize,
}

/// Measures renewals of all entries over all workspaces.
pub(super) fn measure(entries: u32, workspaces: u32) -> BrokerPoint {
    let table = table(workspaces);
    let members: Vec<EntryMember> = (0..entries).map(member).collect();
    let times = RoomTimes {
        grace_ms: 0,
        ..RoomTimes::default()
    };
    let mut broker = Broker::new(times, 0);
    let mut request_bytes = 0;
    let mut busy_seconds = 0.0;
    for round in 1..=ROUNDS {
        for member in &members {
            let request = request(member, workspaces, u64::from(round));
            request_bytes = encode(&request).map_or(0, |bytes| bytes.len());
            let limit = |row: &RoomKey| row.limit(&table);
            let began = Instant::now();
            let answer = broker.answer(&request, &members, limit, u64::from(round) * 1_000);
            busy_seconds += began.elapsed().as_secs_f64();
            assert!(answer.is_ok_and(|answer| answer.violations.is_empty()));
        }
    }
    let renewal_ms = busy_seconds * 1_000.0 / f64::from(ROUNDS * entries.max(1));
    BrokerPoint {
        entries,
        workspaces,
        renewal_ms,
        cpu_percent: renewal_ms * f64::from(entries) / 10.0,
        request_bytes,
    }
}

fn table(workspaces: u32) -> Table {
    let mut table = Table::default();
    for number in 0..workspaces {
        let row = Row::Workspace(WorkspaceRow {
            weight: 1,
            room_slots: Some(100),
            api_key_sha256: None,
            max_tokens: 4_096,
        });
        table
            .rows
            .insert(RowKey::Workspace(name(number)), (TableVersion(1), row));
    }
    table
}

fn name(number: u32) -> WorkspaceName {
    WorkspaceName::from(format!("workspace-{number}").as_str())
}

fn member(number: u32) -> EntryMember {
    EntryMember {
        instance: InstanceRef {
            name: InstanceName::from(format!("entry-{number}").as_str()),
            incarnation: Incarnation(1),
        },
        gone: false,
    }
}

fn request(member: &EntryMember, workspaces: u32, sequence: u64) -> RoomRequest {
    let want = |number: u32| RoomWant {
        workspace: name(number),
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
        wants: (0..workspaces).map(want).collect(),
        adopts: Vec::new(),
    }
}
