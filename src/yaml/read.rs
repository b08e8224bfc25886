//! Typed values read from nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net,
};

use super::{Findings, Node, Value, map_reader};

/// A value that can be read from a node; each fault becomes a finding.
pub trait Read: Sized {
    /// Reads `node`; `None` if a fault was found.
    fn read(node: &Node, out: &mut Findings) -> Option<Self>;
}

fn wrong<T>(node: &Node, wanted: &str, remedy: &str, out: &mut Findings) -> Option<T> {
    out.add(node.mark, format!("Here stands {} where {wanted} is expected", node.kind()), remedy);
    None
}

impl Read for bool {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match node.value {
            Value::Bool(value) => Some(value),
            _ => wrong(node, "true or false", "Write `true` or `false`", out),
        }
    }
}

impl Read for u64 {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match node.value {
            Value::Number(value) => Some(value),
            _ => wrong(node, "a whole number", "Write a whole number from 0, without quotes", out),
        }
    }
}

impl Read for u32 {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let value = u64::read(node, out)?;
        let small = Self::try_from(value).ok();
        if small.is_none() {
            let remedy = format!("Write a number of at most {}", Self::MAX);
            out.add(node.mark, format!("The number {value} is too large"), remedy);
        }
        small
    }
}

impl Read for f64 {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let number = match &node.value {
            Value::Number(value) => Some(*value as f64),
            Value::OtherNumber(text) => text.parse().ok().filter(|value: &f64| value.is_finite()),
            _ => None,
        };
        match number {
            Some(number) => Some(number),
            None => wrong(node, "a number", "Write a number, such as 0.25", out),
        }
    }
}

impl Read for String {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match &node.value {
            Value::Text(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => wrong(node, "text", "Write text, in quotes if it looks like a number", out),
        }
    }
}

impl Read for net::SocketAddr {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let text = String::read(node, out)?;
        let address = text.parse().ok();
        if address.is_none() {
            out.add(
                node.mark,
                format!("`{text}` is not an address"),
                "Write an IP number and a port, such as 10.0.0.7:8080",
            );
        }
        address
    }
}

impl<T: Read> Read for Option<T> {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match node.value {
            Value::Null => Some(None),
            _ => T::read(node, out).map(Some),
        }
    }
}

impl<T: Read> Read for Vec<T> {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match &node.value {
            Value::List(items) => {
                let read: Vec<_> = items.iter().map(|item| T::read(item, out)).collect();
                read.into_iter().collect()
            }
            _ => wrong(node, "a list", "Write a list, such as [a, b]", out),
        }
    }
}

impl<T: Read + Ord> Read for BTreeSet<T> {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        Vec::read(node, out).map(|items| items.into_iter().collect())
    }
}

impl<K: for<'a> From<&'a str> + Ord, T: Read> Read for BTreeMap<K, T> {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let Value::Map(entries) = &node.value else {
            return wrong(node, "a map", "Write one name and colon a line below it", out);
        };
        let mut map = Self::new();
        for (key, value) in entries {
            let name = K::from(&key.name);
            match T::read(value, out) {
                _ if map.contains_key(&name) => map_reader::duplicate(key.mark, &key.name, out),
                Some(value) => _ = map.insert(name, value),
                None => {}
            }
        }
        Some(map)
    }
}
