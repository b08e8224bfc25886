//! Help and version texts of the tool.

/// Output of `--version`.
pub const VERSION: &str = concat!("knapweedford ", env!("CARGO_PKG_VERSION"), "\n");

/// Output of `--help`.
pub const TEXT: &str = "\
Operates knapweedford through the operators' port of any of its processes.

Usage: knapweedford [OPTIONS] COMMAND

Commands:
  check FILE           Check a configuration; contacts no process
  apply FILE           Check a configuration and put it in force
  diff FILE            Show what a configuration would change
  show                 Print the configuration in force
  history              List committed changes, oldest first
  status               Show version, zones and servers out, and processes behind
  zone out|in NAME     Take a zone out of service or back into service
  server out|in NAME   Take a backend server out of service or back into service
  dump PROCESS         Print the state of a process, given its operators' IP:PORT
  wait [VERSION]       Wait until a version is in force everywhere

Options:
  -a, --address IP:PORT   Operators' port of a process [env: KNAPWEEDFORD_ADDRESS]
  -t, --token-file FILE   File with the token [env: KNAPWEEDFORD_TOKEN_FILE,
                          or the token itself in KNAPWEEDFORD_TOKEN]
      --base VERSION      apply: version that the configuration was made from
      --timeout SECONDS   wait: longest time to wait [default: 30]
      --json              Print JSON
  -h, --help              Print this help
  -V, --version           Print the version

Exit codes:
   0  success
   1  diff: there are differences
   2  the command line is invalid
   3  the configuration has errors; nothing was changed
   4  another operator's change came first; nothing was changed
   5  the process could not be reached or refused the request
   6  the platform is unavailable; nothing was changed
   7  the order is in force and spreading, but not durable yet
   8  it is not known whether the order took effect; see history
   9  wait: timed out before the version was in force everywhere
  10  a file could not be read, or another failure
";
