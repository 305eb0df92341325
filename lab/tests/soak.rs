//! A short soak with a fixed seed; longer ones are started by hand with `lab soak`.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use lab::soak;
use lab::soak::Ports;
use lab::soak::SoakOptions;
use lab::soak::Surroundings;

const SEED: u64 = 1;
/// Odd items stand until the end, and all processes are killed shortly before the calm time.
const ODD_ITEMS_SEED: u64 = 2;
const DURATION: Duration = Duration::from_secs(50);

/// A folder in memory if there is one: a change of a file on a busy disk may take many seconds, in which
/// the schedule would stand still.
fn files_dir() -> PathBuf {
    let in_memory = Path::new("/dev/shm");
    if in_memory.is_dir() { in_memory.to_owned() } else { std::env::temp_dir() }
}

fn survives(seed: u64) -> bool {
    let lab = Path::new(env!("CARGO_BIN_EXE_lab"));
    let options = SoakOptions {
        instances: 6,
        ports: Ports::Low,
        surroundings: Surroundings::Drawn,
        is_beside_load: false,
        files: files_dir(),
        keep_logs: None,
    };
    soak::run_seed(lab.parent().unwrap(), &options, seed, DURATION, None).unwrap()
}

// Guards against processes that end by themselves and instances that aren't ready after faults.
#[test]
fn a_fleet_survives_random_faults() {
    assert!(survives(SEED));
}

// Guards against instances that never get ready, or never take a configuration again, since the key or the
// fields of an item that another writer left in the store can't be read.
#[test]
fn a_fleet_returns_while_odd_items_stand_in_the_store() {
    assert!(survives(ODD_ITEMS_SEED));
}
