//! A reader of maps with a fixed set of keys.

use super::{Findings, Key, Mark, Node, Read, Value};

/// Maximum number of edits between an unknown key and the known key that the remedy suggests.
const MAX_SUGGESTION_EDITS: usize = 2;

/// Reads the values of one map whose keys are known.
#[derive(Debug)]
pub struct MapReader<'a> {
    mark: Mark,
    entries: Vec<(&'a str, &'a Node)>,
}

impl<'a> MapReader<'a> {
    /// Creates a reader of the map `node`. Unknown and duplicate keys become findings; a node
    /// that is no map becomes a finding and returns `None`.
    pub fn open(node: &'a Node, known_keys: &[&str], findings: &mut Findings) -> Option<Self> {
        let map: &[(Key, Node)] = match &node.value {
            Value::Map(map) => map,
            Value::Null => &[],
            _ => {
                findings.add(
                    node.mark,
                    format!("This is {}, but a map is expected", node.kind()),
                    format!("Write a map with the keys {}", list_keys(known_keys)),
                );
                return None;
            }
        };
        let mut entries: Vec<(&str, &Node)> = Vec::new();
        for (key, value) in map {
            let name = key.name.as_str();
            match known_keys.contains(&name) {
                _ if entries.iter().any(|(earlier, _)| *earlier == name) => {
                    report_duplicate(key.mark, name, findings)
                }
                true => entries.push((name, value)),
                false => report_unknown(key.mark, name, known_keys, findings),
            }
        }
        Some(Self { mark: node.mark, entries })
    }

    /// Reads the value of a required key; a finding is added if the key is missing.
    pub fn required<T: Read>(&self, key: &str, findings: &mut Findings) -> Option<T> {
        match self.get(key) {
            Some(node) => T::read(node, findings),
            None => {
                findings.add(
                    self.mark,
                    format!("The key `{key}` is missing"),
                    format!("Add `{key}:`"),
                );
                None
            }
        }
    }

    /// Reads the value of an optional key; returns `default` if the key is missing.
    pub fn optional<T: Read>(&self, key: &str, default: T, findings: &mut Findings) -> Option<T> {
        match self.get(key) {
            Some(node) => T::read(node, findings),
            None => Some(default),
        }
    }

    fn get(&self, key: &str) -> Option<&'a Node> {
        self.entries.iter().find(|(name, _)| *name == key).map(|(_, node)| *node)
    }
}

/// Reports a key that occurs more than once in a map.
pub(super) fn report_duplicate(mark: Mark, name: &str, findings: &mut Findings) {
    findings.add(mark, format!("The key `{name}` is duplicated"), "Remove all but one");
}

fn report_unknown(mark: Mark, name: &str, known_keys: &[&str], findings: &mut Findings) {
    let suggestion = known_keys.iter().find(|key| edit_distance(key, name) <= MAX_SUGGESTION_EDITS);
    let remedy = match suggestion {
        Some(key) => format!("Write `{key}` if that was intended, or remove the key"),
        None => format!("Use one of {}, or remove the key", list_keys(known_keys)),
    };
    findings.add(mark, format!("The key `{name}` is unknown here"), remedy);
}

fn list_keys(keys: &[&str]) -> String {
    keys.iter().map(|key| format!("`{key}`")).collect::<Vec<_>>().join(", ")
}

/// Number of edits (insert, delete, replace) that lead from `a` to `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
