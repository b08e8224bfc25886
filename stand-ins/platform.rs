//! A stand-in for tests and the demo.

fn main() {}
