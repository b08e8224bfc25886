//! YAML read into a tree with positions, so that every fault is reported at its place.
//!
//! [`Node::parse`] gives the tree, [`MapReader`] and [`Read`] turn it into typed
//! values and gather a [`Finding`] for each fault instead of stopping at the
//! first.

mod finding;
mod findings;
mod map_reader;
mod mark;
mod node;
mod read;

pub use finding::Finding;
pub use findings::Findings;
pub use map_reader::MapReader;
pub use mark::Mark;
pub use node::{Key, Node, Value};
pub use read::Read;
