//! The daemon.

use std::process;

fn main() -> process::ExitCode {
    knapweedford::daemon::run()
}
