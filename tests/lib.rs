//! Integration tests: one module a feature.

mod agreement;
mod frames;
mod host_settings;
mod platform;
mod site;
mod texts;
mod tool;
