//! Integration tests: one module a feature.

mod collecting;
mod fairness;
mod frames;
mod gate;
mod retries;
mod routes;
