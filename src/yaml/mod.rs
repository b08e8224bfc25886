//! YAML read into a tree with positions, so that every fault is reported at its place.
//!
//! [`Node::parse`] gives the tree, [`Table`] and [`Read`] turn it into typed
//! values and gather a [`Finding`] for each fault instead of stopping at the
//! first.

mod finding;
mod findings;
mod mark;
mod node;
mod read;
mod table;

pub use finding::Finding;
pub use findings::Findings;
pub use mark::Mark;
pub use node::{Key, Node, Value};
pub use read::Read;
pub use table::Table;
