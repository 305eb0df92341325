//! A short soak with a fixed seed; longer ones are started by hand with `lab soak`.

use std::path::Path;
use std::time::Duration;

use lab::soak;
use lab::soak::Ports;
use lab::soak::SoakOptions;
use lab::soak::Surroundings;

const SEED: u64 = 1;
const DURATION: Duration = Duration::from_secs(50);

// Guards against processes that end by themselves and instances that aren't ready after faults.
#[test]
fn a_fleet_survives_random_faults() {
    let lab = Path::new(env!("CARGO_BIN_EXE_lab"));
    let options = SoakOptions {
        instances: 6,
        ports: Ports::Low,
        surroundings: Surroundings::Drawn,
        is_beside_load: false,
        keep_logs: None,
    };
    assert!(soak::run_seed(lab.parent().unwrap(), &options, SEED, DURATION, None).unwrap());
}
