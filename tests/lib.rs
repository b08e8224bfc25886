//! Integration tests: one module a feature.

mod frames;
mod maps_fuzz;
