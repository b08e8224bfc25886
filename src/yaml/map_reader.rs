//! A map with a fixed set of keys.

use super::{Findings, Key, Mark, Node, Read, Value};

/// Farthest spelling that is offered as the likely meaning, in edits.
const NEAR: usize = 2;

/// The entries of one map, of which only known keys are taken.
#[derive(Debug)]
pub struct MapReader<'a> {
    mark: Mark,
    entries: Vec<(&'a str, &'a Node)>,
}

impl<'a> MapReader<'a> {
    /// Takes `node` as a map of `known` keys; unknown and duplicate keys are findings.
    pub fn open(node: &'a Node, known: &[&str], out: &mut Findings) -> Option<Self> {
        let map: &[(Key, Node)] = match &node.value {
            Value::Map(map) => map,
            Value::Null => &[],
            _ => {
                out.add(
                    node.mark,
                    format!("Here stands {} where a map is expected", node.kind()),
                    format!("Write the keys {} below it", list(known)),
                );
                return None;
            }
        };
        let mut entries: Vec<(&str, &Node)> = Vec::new();
        for (key, value) in map {
            let name = key.name.as_str();
            match known.contains(&name) {
                _ if entries.iter().any(|(had, _)| *had == name) => duplicate(key.mark, name, out),
                true => entries.push((name, value)),
                false => unknown(key.mark, name, known, out),
            }
        }
        Some(Self { mark: node.mark, entries })
    }

    /// The value of a key that must be there.
    pub fn required<T: Read>(&self, key: &str, out: &mut Findings) -> Option<T> {
        match self.get(key) {
            Some(node) => T::read(node, out),
            None => {
                out.add(self.mark, format!("The key `{key}` is missing"), format!("Add `{key}:`"));
                None
            }
        }
    }

    /// The value of a key that may be left out.
    pub fn optional<T: Read>(&self, key: &str, or: T, out: &mut Findings) -> Option<T> {
        match self.get(key) {
            Some(node) => T::read(node, out),
            None => Some(or),
        }
    }

    fn get(&self, key: &str) -> Option<&'a Node> {
        self.entries.iter().find(|(name, _)| *name == key).map(|(_, node)| *node)
    }
}

/// Reports a key that stands twice in one map.
pub(super) fn duplicate(mark: Mark, name: &str, out: &mut Findings) {
    out.add(mark, format!("The key `{name}` stands twice"), "Keep one of the two");
}

fn unknown(mark: Mark, name: &str, known: &[&str], out: &mut Findings) {
    let near = known.iter().find(|key| distance(key, name) <= NEAR);
    let remedy = match near {
        Some(key) => format!("Write `{key}` if that is meant, or remove it"),
        None => format!("Use one of {}, or remove it", list(known)),
    };
    out.add(mark, format!("The key `{name}` is not known here"), remedy);
}

fn list(known: &[&str]) -> String {
    known.iter().map(|key| format!("`{key}`")).collect::<Vec<_>>().join(", ")
}

/// Edits (insert, delete, replace) that lead from `a` to `b`.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = corner + usize::from(from != *to);
            corner = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}
