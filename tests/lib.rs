//! Integration tests: one module a feature.

mod deaths;
mod frames;
mod fuzz;
mod fuzz_answers;
mod fuzz_gate;
mod platform;
mod site;
mod streams;
mod texts;
