//! Integration tests: one module a feature.

mod frames;
mod maps;
mod maps_fuzz;
