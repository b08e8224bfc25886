//! The tree of a YAML document, in which each node has a position.

use std::fmt;

use serde::{Deserialize, Deserializer, de};

use super::{Findings, Mark};

/// Maximum depth of nesting.
const MAX_DEPTH: usize = 16;

/// Maximum number of nodes in a document.
const MAX_NODES: usize = 1_000_000;

/// Maximum number of aliases, and of anchors, in a document.
const MAX_ALIASES: usize = 1_000;

/// A value and its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Position at which the value begins.
    pub mark: Mark,
    /// The value.
    pub value: Value,
}

/// A key of a map and its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Position at which the key begins.
    pub mark: Mark,
    /// The key.
    pub name: String,
}

/// The value of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// No value, or `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number that is not negative.
    Number(u64),
    /// A number that is negative or has a fraction.
    OtherNumber(String),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A map in the order of the document, duplicate keys included.
    Map(Vec<(Key, Node)>),
}

impl Node {
    /// Parses `text` into a tree. Fails if it has more than `limit` bytes or is not valid YAML.
    pub fn parse(text: &str, limit: usize) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        if text.len() > limit {
            findings.add(
                Mark::START,
                format!("The document has {} bytes, more than the limit of {limit}", text.len()),
                "Leave out workspaces that have the default weight and priority",
            );
            return findings.into_result(None);
        }
        let budget = serde_saphyr::budget! {
            max_depth: MAX_DEPTH,
            max_nodes: MAX_NODES,
            max_events: 4 * MAX_NODES,
            max_aliases: MAX_ALIASES,
            max_anchors: MAX_ALIASES,
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
                report_parse_error(&err, &mut findings);
                findings.into_result(None)
            }
        }
    }

    /// Kind of the value, in words for messages.
    pub fn kind(&self) -> &'static str {
        match self.value {
            Value::Null => "an empty value",
            Value::Bool(_) => "a boolean",
            Value::Number(_) => "a number",
            Value::OtherNumber(_) => "a negative number or fraction",
            Value::Text(_) => "text",
            Value::List(_) => "a list",
            Value::Map(_) => "a map",
        }
    }

    /// Position of the node at `path`, or of the last node on the path that exists.
    ///
    /// A step of the path is a key of a map, or the text or the index of a list item. The position
    /// of a map or list is that of its key; the position of any other node is that of its value.
    pub fn mark_at(&self, path: &[&str]) -> Mark {
        let Some((step, rest)) = path.split_first() else { return self.mark };
        match &self.value {
            Value::Map(entries) => match entries.iter().find(|(key, _)| key.name == *step) {
                Some((key, node)) if rest.is_empty() => node.mark_or(key.mark),
                Some((key, node)) if node.is_leaf() => node.mark_or(key.mark),
                Some((key, node)) if !node.may_contain(rest[0]) => key.mark,
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

    /// Keys of the map that is the value of `key` in this map.
    pub fn keys(&self, key: &str) -> Vec<&str> {
        let Value::Map(entries) = &self.value else { return Vec::new() };
        entries
            .iter()
            .filter(|(entry_key, _)| entry_key.name == key)
            .filter_map(|(_, node)| match &node.value {
                Value::Map(inner) => Some(inner),
                _ => None,
            })
            .flatten()
            .map(|(inner_key, _)| inner_key.name.as_str())
            .collect()
    }

    fn is_leaf(&self) -> bool {
        !matches!(self.value, Value::Map(_) | Value::List(_))
    }

    fn is_text(&self, text: &str) -> bool {
        matches!(&self.value, Value::Text(value) if value == text)
    }

    /// Whether `step` may lead to a node below this one. Only the keys of maps are searched.
    fn may_contain(&self, step: &str) -> bool {
        match &self.value {
            Value::Map(entries) => entries.iter().any(|(key, _)| key.name == step),
            _ => true,
        }
    }

    /// Position of a leaf that has a value, otherwise `key`, the position of the key.
    fn mark_or(&self, key: Mark) -> Mark {
        if self.is_leaf() && self.value != Value::Null { self.mark } else { key }
    }
}

fn report_parse_error(err: &serde_saphyr::Error, findings: &mut Findings) {
    let mark = err.location().map_or(Mark::START, Mark::from);
    let err = err.without_snippet();
    match err {
        serde_saphyr::Error::MultipleDocuments { .. } => {
            findings.add(
                mark,
                "A second document begins here",
                "Write a single document without `---`",
            );
        }
        _ => findings.add(
            mark,
            format!("The document is not valid YAML: {}", parser_message(&err.to_string())),
            "Correct the indentation, quotes, brackets or key at this position",
        ),
    }
}

/// The message of the parser without the position and without advice for programmers.
fn parser_message(message: &str) -> &str {
    let line = message.lines().next().unwrap_or_default();
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
        f.write_str("a map, list, text, number or boolean")
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
