//! Help and version of the tool.

/// What `--version` prints.
pub const VERSION: &str = concat!("knapweedford ", env!("CARGO_PKG_VERSION"), "\n");

/// What `--help` prints.
pub const TEXT: &str = "\
Drives knapweedford through the operators' port of any of its processes.

Usage: knapweedford [OPTIONS] COMMAND

Commands:
  check FILE           Check a text; asks no process
  apply FILE           Check a text and put it in force
  diff FILE            Show what a text would change
  show                 Print the text in force
  history              List committed changes, oldest first
  status               Show version, what is out, and who is behind
  zone out|in NAME     Take a zone out of service, or bring it back
  server out|in NAME   Take a backend server out of service, or bring it back
  dump PROCESS         Print the state of the process at this operators' address
  wait [VERSION]       Wait until a version is in force everywhere

Options:
  -a, --address IP:PORT   Operators' port to ask [env: KNAPWEEDFORD_ADDRESS]
  -t, --token-file FILE   File with the token [env: KNAPWEEDFORD_TOKEN_FILE,
                          or the token itself in KNAPWEEDFORD_TOKEN]
      --base VERSION      apply: version that the text was made from
      --timeout SECONDS   wait: longest time [default: 30]
      --json              Print JSON
  -h, --help              Print this help
  -V, --version           Print the version

Exit codes:
   0  done
   1  diff: there are differences
   2  the command line was not understood
   3  the text has faults; nothing was changed
   4  another operator was first; nothing was changed
   5  the process was not reached, or refused
   6  the platform is unavailable; nothing was changed
   7  in force and spreading, but not durable yet
   8  it is not known whether the order took effect; see history
   9  wait: some processes are still behind
  10  a file could not be read, or another failure
";
