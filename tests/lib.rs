//! Integration tests: one module a feature.

mod frames;
mod host_settings;
mod platform;
mod texts;
