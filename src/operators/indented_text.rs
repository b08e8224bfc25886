//! JSON as indented text for a person.

use std::fmt::Write;

use serde_json::Value;

const INDENT: usize = 2;

/// `value` as lines of `key: value`, nested by indentation.
pub fn indented_text(value: &Value) -> String {
    let mut out = String::new();
    lines(value, 0, &mut out);
    out
}

fn lines(value: &Value, depth: usize, out: &mut String) {
    match value {
        Value::Object(entries) => {
            entries.iter().for_each(|(key, value)| entry(key, value, depth, out));
        }
        Value::Array(items) => items.iter().for_each(|item| entry("-", item, depth, out)),
        leaf => line(&short(leaf), depth, out),
    }
}

fn entry(key: &str, value: &Value, depth: usize, out: &mut String) {
    let colon = if key == "-" { "" } else { ":" };
    match value {
        Value::Object(inner) if !inner.is_empty() => nested(key, colon, value, depth, out),
        Value::Array(inner) if !inner.is_empty() => nested(key, colon, value, depth, out),
        leaf => line(&format!("{key}{colon} {}", short(leaf)), depth, out),
    }
}

fn nested(key: &str, colon: &str, value: &Value, depth: usize, out: &mut String) {
    line(&format!("{key}{colon}"), depth, out);
    lines(value, depth + 1, out);
}

fn line(text: &str, depth: usize, out: &mut String) {
    let width = depth * INDENT;
    let _ = writeln!(out, "{:width$}{text}", "");
}

fn short(leaf: &Value) -> String {
    match leaf {
        Value::String(text) => text.clone(),
        Value::Array(_) | Value::Object(_) | Value::Null => "none".into(),
        other => other.to_string(),
    }
}
