//! Property tests of the decoders of records, snapshots and messages with random and damaged bytes.

// Property functions of quickcheck take owned arguments.
#![allow(clippy::needless_pass_by_value)]

use std::path::Path;
use std::sync::Arc;

use lilacspindle::adapters::disk::{
    Record, decode_snapshot, encode_records, encode_snapshot, scan_segment,
};
use lilacspindle::domain::log::{
    Body, Config, Core, Echo, Entry, HardState, NodeId, Options, Packet, Payload, RecoveredState,
    ReplicaSettings, Snapshot,
};
use lilacspindle::rpc::{decode, encode};
use quickcheck::{QuickCheck, TestResult};

fn check<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().tests(2_000).quickcheck(property);
}

fn core() -> Core {
    let settings = ReplicaSettings {
        election_ms: 100,
        snapshot_entries: 10,
    };
    let address = ([127, 0, 0, 1], 1).into();
    Core::new(
        NodeId(1),
        address,
        settings,
        Options::default(),
        RecoveredState::default(),
        1,
        0,
    )
}

fn append() -> Packet {
    let payload = Payload::Command(b"edit".to_vec());
    let entries = vec![Arc::new(Entry {
        index: 1,
        term: 1,
        payload,
    })];
    let echo = Echo {
        sent_ms: 5,
        round: 1,
    };
    let body = Body::Append {
        prev_index: 0,
        prev_term: 0,
        commit: 1,
        echo,
        entries,
    };
    Packet {
        cluster: Some(3),
        address: ([127, 0, 0, 1], 2).into(),
        term: 1,
        body,
    }
}

/// Overwrites bytes of `bytes`; each change is a position and a value.
fn damage(bytes: &mut [u8], changes: &[(usize, u8)]) {
    for (position, value) in changes {
        let length = bytes.len();
        bytes[position % length] = *value;
    }
}

/// Guards against a panic in a decoder, or in the core, on arbitrary bytes.
#[test]
fn random_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>, last: bool) {
        let path = Path::new("file");
        let _ = scan_segment(path, &bytes, last);
        let _ = decode_snapshot(path, &bytes);
        let _ = decode::<Record>(&bytes);
        if let Ok(packet) = decode::<Packet>(&bytes) {
            let mut core = core();
            core.step(NodeId(2), packet, 1);
            let _ = core.output(2);
        }
    }
    check(property as fn(Vec<u8>, bool));
}

/// Guards against a panic in the core on a message that was damaged in transit.
#[test]
fn damaged_messages_do_not_panic() {
    fn property(changes: Vec<(usize, u8)>) {
        let mut bytes = encode(&append()).unwrap();
        damage(&mut bytes, &changes);
        if let Ok(packet) = decode::<Packet>(&bytes) {
            let mut core = core();
            core.step(NodeId(2), packet.clone(), 1);
            let _ = core.output(2);
            core.step(NodeId(2), packet, 3);
            core.tick(10_000);
            let _ = core.output(10_000);
        }
    }
    check(property as fn(Vec<(usize, u8)>));
}

/// Guards against a damaged snapshot file that is decoded instead of refused.
#[test]
fn damaged_snapshots_are_refused() {
    fn property(changes: Vec<(usize, u8)>, data: Vec<u8>) -> TestResult {
        let config = Config::default();
        let snapshot = Snapshot {
            index: 4,
            term: 2,
            config,
            config_index: 1,
            data,
        };
        let intact = encode_snapshot(&snapshot).unwrap();
        let mut bytes = intact.clone();
        damage(&mut bytes, &changes);
        if bytes == intact {
            return TestResult::from_bool(
                decode_snapshot(Path::new("f"), &bytes).unwrap() == snapshot,
            );
        }
        TestResult::from_bool(decode_snapshot(Path::new("f"), &bytes).is_err())
    }
    check(property as fn(Vec<(usize, u8)>, Vec<u8>) -> TestResult);
}

/// Guards against records that are decoded differently from how they were encoded.
#[test]
fn records_survive_encoding() {
    fn property(terms: Vec<u64>, command: Vec<u8>) -> bool {
        let mut records = vec![Record::Reset];
        for term in terms {
            records.push(Record::State(HardState {
                term,
                vote: Some(NodeId(term)),
            }));
            let payload = Payload::Command(command.clone());
            records.push(Record::Entry(Entry {
                index: term,
                term,
                payload,
            }));
        }
        let mut buffer = Vec::new();
        encode_records(&mut buffer, 24, &records).unwrap();
        let path = Path::new("file");
        // The header of an empty segment, built by hand from the description of the format.
        let mut bytes = b"lilaclog".to_vec();
        bytes.extend_from_slice(&1u32.to_le_bytes());
        bytes.extend_from_slice(&1u64.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
        bytes.extend_from_slice(&buffer);
        scan_segment(path, &bytes, false).unwrap().records == records
    }
    check(property as fn(Vec<u64>, Vec<u8>) -> bool);
}
