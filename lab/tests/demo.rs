//! The demonstration passes: real processes, driven through failures.

use std::path::Path;

use lab::demo;

#[test]
fn every_answer_of_the_demonstration_is_right() {
    let lab = Path::new(env!("CARGO_BIN_EXE_lab"));
    demo::run(lab.parent().unwrap()).unwrap();
}
