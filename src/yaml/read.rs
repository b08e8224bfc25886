//! Reading of typed values from nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net,
};

use super::{Findings, Node, Value, map_reader};

/// A value that can be read from a node. Each error becomes a finding.
pub trait Read: Sized {
    /// Reads a value from `node`; `None` if a finding was added.
    fn read(node: &Node, findings: &mut Findings) -> Option<Self>;
}

fn report_wrong_kind<T>(
    node: &Node,
    expected: &str,
    remedy: &str,
    findings: &mut Findings,
) -> Option<T> {
    findings.add(node.mark, format!("This is {}, but {expected} is expected", node.kind()), remedy);
    None
}

impl Read for bool {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match node.value {
            Value::Bool(value) => Some(value),
            _ => report_wrong_kind(node, "a boolean", "Write `true` or `false`", findings),
        }
    }
}

impl Read for u64 {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match node.value {
            Value::Number(value) => Some(value),
            _ => report_wrong_kind(
                node,
                "a whole number",
                "Write a whole number that is not negative, without quotes",
                findings,
            ),
        }
    }
}

impl Read for u32 {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let value = u64::read(node, findings)?;
        let converted = Self::try_from(value).ok();
        if converted.is_none() {
            let remedy = format!("Write a number of at most {}", Self::MAX);
            findings.add(node.mark, format!("The number {value} is too large"), remedy);
        }
        converted
    }
}

impl Read for f64 {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let number = match &node.value {
            Value::Number(value) => Some(*value as f64),
            Value::OtherNumber(text) => text.parse().ok().filter(|value: &f64| value.is_finite()),
            _ => None,
        };
        match number {
            Some(number) => Some(number),
            None => report_wrong_kind(node, "a number", "Write a number, such as 0.25", findings),
        }
    }
}

impl Read for String {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match &node.value {
            Value::Text(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => report_wrong_kind(
                node,
                "text",
                "Write text, in quotes if it looks like a number",
                findings,
            ),
        }
    }
}

impl Read for net::SocketAddr {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let text = String::read(node, findings)?;
        let address = text.parse().ok();
        if address.is_none() {
            findings.add(
                node.mark,
                format!("`{text}` is not an address"),
                "Write an IP address and a port, such as 10.0.0.7:8080",
            );
        }
        address
    }
}

impl<T: Read> Read for Option<T> {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match node.value {
            Value::Null => Some(None),
            _ => T::read(node, findings).map(Some),
        }
    }
}

impl<T: Read> Read for Vec<T> {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match &node.value {
            Value::List(items) => {
                let read: Vec<_> = items.iter().map(|item| T::read(item, findings)).collect();
                read.into_iter().collect()
            }
            _ => report_wrong_kind(node, "a list", "Write a list, such as [a, b]", findings),
        }
    }
}

impl<T: Read + Ord> Read for BTreeSet<T> {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        Vec::read(node, findings).map(|items| items.into_iter().collect())
    }
}

impl<K: for<'a> From<&'a str> + Ord, T: Read> Read for BTreeMap<K, T> {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let Value::Map(entries) = &node.value else {
            return report_wrong_kind(
                node,
                "a map",
                "Write a name and a colon on each line below it",
                findings,
            );
        };
        let mut map = Self::new();
        for (key, value) in entries {
            let name = K::from(&key.name);
            match T::read(value, findings) {
                _ if map.contains_key(&name) => {
                    map_reader::report_duplicate(key.mark, &key.name, findings)
                }
                Some(value) => _ = map.insert(name, value),
                None => {}
            }
        }
        Some(map)
    }
}
