//! The data folder under failed operations, after which it is opened again by the same process.

mod log_support;

use lilacspindle::domain::log::RecoveredState;
use log_support::Random;
use log_support::files::{Shared, open, random_write, same_log, state_after_write};

/// Repeatedly writes until an operation fails, as on a full disk, and opens the folder again until
/// that succeeds. Sometimes the power is lost right after that. Checks that what was found on
/// opening, and could have been acknowledged to others since, is still there.
fn run_errors(seed: u64) -> Result<(), String> {
    let mut random = Random(seed);
    let shared = Shared::default();
    let mut state = RecoveredState::default();
    let mut possible = vec![state.clone()];
    for _ in 0..40 {
        // The disk may still be full at the first attempts.
        let mut room = random.below(6);
        let (mut disk, found) = loop {
            shared.lock().unwrap().operations_left = Some(room);
            match open(&shared) {
                Ok(opened) => break opened,
                Err(error) if error.to_string().contains("corrupt") => {
                    return Err(format!("seed {seed}: {error}"));
                }
                Err(_) => room += random.below(6),
            }
        };
        if !possible.iter().any(|state| same_log(state, &found)) {
            return Err(format!("seed {seed}: found {found:?}, written {state:?}"));
        }
        if found.hard_state.term < state.hard_state.term {
            return Err(format!("seed {seed}: the term went back"));
        }
        state = found;
        possible = vec![state.clone()];
        if random.chance(500) {
            shared.lock().unwrap().crash(&mut random);
            continue;
        }
        shared.lock().unwrap().operations_left = Some(random.below(60));
        loop {
            let persist = random_write(&mut random, &state);
            possible = (0..=persist.entries.len())
                .map(|count| state_after_write(&state, &persist, count))
                .collect();
            possible.push(state.clone());
            if disk.write(&persist).is_err() {
                break;
            }
            state = state_after_write(&state, &persist, usize::MAX);
        }
    }
    Ok(())
}

/// Guards against a folder that cannot be opened after a failed write, and against unsynced data
/// that a reopened log takes for durable.
#[test]
fn data_found_after_a_failed_operation_survives_a_power_loss() {
    let seeds = std::env::var("LILAC_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(300);
    for seed in 0..seeds {
        run_errors(seed).unwrap();
    }
}

/// Guards against a log that is opened, and takes part in elections, on a disk that is still full.
#[test]
fn folder_is_not_opened_while_its_disk_is_full() {
    let shared = Shared::default();
    open(&shared).unwrap();
    shared.lock().unwrap().full = true;
    let error = open(&shared).map(drop).unwrap_err();
    assert!(error.to_string().contains("free space"), "{error}");
    shared.lock().unwrap().full = false;
    assert!(open(&shared).is_ok());
}
