//! The command line.

mod command;
mod demo;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run(pico_args::Arguments::from_env())
}
