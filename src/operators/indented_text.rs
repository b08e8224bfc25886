//! Conversion of JSON to indented text for operators.

use std::fmt::Write;

use serde_json::Value;

/// Spaces for each level of nesting.
const INDENT_WIDTH: usize = 2;

/// Returns `value` as lines of `key: value`, nested by indentation.
pub fn indented_text(value: &Value) -> String {
    let mut out = String::new();
    write_value(value, 0, &mut out);
    out
}

fn write_value(value: &Value, depth: usize, out: &mut String) {
    match value {
        Value::Object(entries) => {
            entries.iter().for_each(|(key, value)| write_entry(key, value, depth, out));
        }
        Value::Array(items) => items.iter().for_each(|item| write_entry("-", item, depth, out)),
        leaf => write_line(&leaf_text(leaf), depth, out),
    }
}

fn write_entry(key: &str, value: &Value, depth: usize, out: &mut String) {
    let colon = if key == "-" { "" } else { ":" };
    match value {
        Value::Object(inner) if !inner.is_empty() => write_nested(key, colon, value, depth, out),
        Value::Array(inner) if !inner.is_empty() => write_nested(key, colon, value, depth, out),
        leaf => write_line(&format!("{key}{colon} {}", leaf_text(leaf)), depth, out),
    }
}

fn write_nested(key: &str, colon: &str, value: &Value, depth: usize, out: &mut String) {
    write_line(&format!("{key}{colon}"), depth, out);
    write_value(value, depth + 1, out);
}

fn write_line(text: &str, depth: usize, out: &mut String) {
    let width = depth * INDENT_WIDTH;
    let _ = writeln!(out, "{:width$}{text}", "");
}

fn leaf_text(leaf: &Value) -> String {
    match leaf {
        Value::String(text) => text.clone(),
        Value::Array(_) | Value::Object(_) | Value::Null => "none".into(),
        other => other.to_string(),
    }
}
