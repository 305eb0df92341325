//! Guards `lab demo`, which drives fleets of real processes through failures.

use std::path::Path;

use lab::demo;

#[test]
fn the_demo_passes_every_check() {
    let lab = Path::new(env!("CARGO_BIN_EXE_lab"));
    demo::run(lab.parent().unwrap()).unwrap();
}
