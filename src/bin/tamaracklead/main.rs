//! `tamaracklead`, the command-line tool for operators and callers.

mod app;
mod clap_app;

use std::io;
use std::process::ExitCode;

use tamaracklead::cli;

fn main() -> ExitCode {
    let invocation = app::invocation(&clap_app::build_app().get_matches());
    let exit = cli::run(&invocation, &mut io::stdout().lock(), &mut io::stderr().lock());
    ExitCode::from(exit.code())
}
