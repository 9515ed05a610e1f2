//! The `jackdaw-router` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    router::main_with(std::env::args_os())
}
