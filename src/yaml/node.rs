//! The tree of a YAML text, each node with its place.

use std::fmt;

use serde::{Deserialize, Deserializer, de};

use super::{Findings, Mark};

/// Deepest nesting that is read.
const DEPTH: usize = 16;

/// Most nodes that are read.
const NODES: usize = 1_000_000;

/// Most aliases that are followed.
const ALIASES: usize = 1_000;

/// A value and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Where the value begins.
    pub mark: Mark,
    /// The value.
    pub value: Value,
}

/// A key of a map and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Where the key begins.
    pub mark: Mark,
    /// The key.
    pub name: String,
}

/// What a node holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// Nothing, or `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number from 0.
    Number(u64),
    /// A number that is negative or has a fraction.
    OtherNumber(String),
    /// Text.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A map, in the order of the text, with duplicates.
    Map(Vec<(Key, Node)>),
}

impl Node {
    /// Reads the tree of `text`, which may be at most `limit` bytes.
    pub fn parse(text: &str, limit: usize) -> Result<Self, Findings> {
        let mut out = Findings::default();
        if text.len() > limit {
            out.add(
                Mark::START,
                format!("The text has {} bytes, more than the limit of {limit}", text.len()),
                "Leave out workspaces that have the default weight and priority",
            );
            return out.into_result(None);
        }
        let budget = serde_saphyr::budget! {
            max_depth: DEPTH,
            max_nodes: NODES,
            max_events: 4 * NODES,
            max_aliases: ALIASES,
            max_anchors: ALIASES,
        };
        let options = serde_saphyr::options! {
            budget: budget,
            duplicate_keys: serde_saphyr::DuplicateKeyPolicy::PassThrough,
            strict_booleans: true,
            with_snippet: false,
        };
        match serde_saphyr::from_str_with_options::<Self>(text, options) {
            Ok(node) => Ok(node),
            Err(err) => {
                refuse(&err, &mut out);
                out.into_result(None)
            }
        }
    }

    /// What the node holds, in a word for messages.
    pub fn kind(&self) -> &'static str {
        match self.value {
            Value::Null => "nothing",
            Value::Bool(_) => "true or false",
            Value::Number(_) => "a number",
            Value::OtherNumber(_) => "a negative number or fraction",
            Value::Text(_) => "text",
            Value::List(_) => "a list",
            Value::Map(_) => "a map",
        }
    }

    /// Place of what `path` leads to, or of the last step that exists.
    ///
    /// Steps are keys of maps and, for lists, items' texts or indices. Maps
    /// and lists are placed at their key, all else at the value.
    pub fn mark_at(&self, path: &[&str]) -> Mark {
        let Some((step, rest)) = path.split_first() else { return self.mark };
        match &self.value {
            Value::Map(entries) => match entries.iter().find(|(key, _)| key.name == *step) {
                Some((key, node)) if rest.is_empty() => node.mark_or(key.mark),
                Some((key, node)) if node.is_leaf() => node.mark_or(key.mark),
                Some((key, node)) if !node.leads(rest[0]) => key.mark,
                Some((_, node)) => node.mark_at(rest),
                None => self.mark,
            },
            Value::List(items) => items
                .iter()
                .enumerate()
                .find(|(i, item)| item.is_text(step) || i.to_string() == *step)
                .map_or(self.mark, |(_, item)| item.mark_at(rest)),
            _ => self.mark,
        }
    }

    /// Keys of the map that `key` of this map holds.
    pub fn keys(&self, key: &str) -> Vec<&str> {
        let Value::Map(entries) = &self.value else { return Vec::new() };
        entries
            .iter()
            .filter(|(at, _)| at.name == key)
            .filter_map(|(_, node)| match &node.value {
                Value::Map(inner) => Some(inner),
                _ => None,
            })
            .flatten()
            .map(|(at, _)| at.name.as_str())
            .collect()
    }

    fn is_leaf(&self) -> bool {
        !matches!(self.value, Value::Map(_) | Value::List(_))
    }

    fn is_text(&self, text: &str) -> bool {
        matches!(&self.value, Value::Text(own) if own == text)
    }

    fn leads(&self, step: &str) -> bool {
        match &self.value {
            Value::Map(entries) => entries.iter().any(|(key, _)| key.name == step),
            _ => true,
        }
    }

    fn mark_or(&self, key: Mark) -> Mark {
        if self.is_leaf() && self.value != Value::Null { self.mark } else { key }
    }
}

fn refuse(err: &serde_saphyr::Error, out: &mut Findings) {
    let mark = err.location().map_or(Mark::START, Mark::from);
    let err = err.without_snippet();
    match err {
        serde_saphyr::Error::MultipleDocuments { .. } => {
            out.add(mark, "A second document begins here", "Write one document, without `---`");
        }
        _ => out.add(
            mark,
            format!("The text is not valid YAML: {}", reason(&err.to_string())),
            "Correct the indentation, quotes, brackets or key there",
        ),
    }
}

/// What the parser says, without the place and the advice to programmers.
fn reason(said: &str) -> &str {
    let line = said.lines().next().unwrap_or_default();
    let line = line.split(" at line ").next().unwrap_or(line);
    line.split("; use ").next().unwrap_or(line)
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let spanned = serde_saphyr::Spanned::<Value>::deserialize(from)?;
        Ok(Self { mark: spanned.referenced.into(), value: spanned.value })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(Visitor)
    }
}

struct Visitor;

impl<'de> de::Visitor<'de> for Visitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map, list, text, number or truth value")
    }

    fn visit_unit<E: de::Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E: de::Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        from.deserialize_any(self)
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value))
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Value, E> {
        Ok(u64::try_from(value)
            .map_or_else(|_| Value::OtherNumber(value.to_string()), Value::Number))
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Value, E> {
        Ok(Value::OtherNumber(value.to_string()))
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = from.next_element()? {
            items.push(item);
        }
        items.shrink_to_fit();
        Ok(Value::List(items))
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = from.next_key::<serde_saphyr::Spanned<String>>()? {
            let key = Key { mark: key.referenced.into(), name: key.value };
            entries.push((key, from.next_value()?));
        }
        entries.shrink_to_fit();
        Ok(Value::Map(entries))
    }
}
