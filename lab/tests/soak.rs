//! Short soaks with fixed seeds; longer ones are started by hand with `lab soak`.

use std::path::Path;
use std::time::Duration;

use lab::soak;
use lab::soak::Ports;
use lab::soak::SoakOptions;

const DURATION: Duration = Duration::from_secs(26);

// Guards against processes that end by themselves and instances that aren't ready after faults.
#[test]
fn a_fleet_survives_random_faults() {
    let lab = Path::new(env!("CARGO_BIN_EXE_lab"));
    let options =
        SoakOptions { instances: 6, ports: Ports::Low, is_beside_load: false, keep_logs: None };
    for seed in [1, 2] {
        assert!(soak::run_seed(lab.parent().unwrap(), &options, seed, DURATION, false).unwrap());
    }
}
