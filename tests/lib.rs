//! Integration tests: one module a feature.

mod agreement;
mod frames;
mod platform;
mod site;
