//! Integration tests: one module a feature.

mod frames;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod platform;
mod texts;
