//! A reader of YAML that keeps positions, so that each error is reported with its position.
//!
//! [`Node::parse`] returns a tree. [`MapReader`] and [`Read`] turn the tree into typed values and
//! collect a [`Finding`] for each error instead of stopping at the first one.

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
