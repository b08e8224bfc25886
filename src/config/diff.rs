//! Differences between two configurations, for operators.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::Config;

/// The kind of a difference, with the values that differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The value is only in the new configuration.
    Added(serde_json::Value),
    /// The value is only in the old configuration.
    Removed(serde_json::Value),
    /// The value is in both configurations and differs.
    Changed {
        /// Value in the old configuration.
        from: serde_json::Value,
        /// Value in the new configuration.
        to: serde_json::Value,
    },
}

/// One difference between two configurations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Path of the keys, such as `services.ledger-app.limits.body-bytes`.
    pub place: String,
    /// Kind of the difference.
    pub side: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = &self.place;
        match &self.side {
            Change::Added(value) => write!(f, "+ {place}: {value}"),
            Change::Removed(value) => write!(f, "- {place}: {value}"),
            Change::Changed { from, to } => write!(f, "~ {place}: {from} -> {to}"),
        }
    }
}

/// Returns the differences between `old` and `new`, by section and then by path.
///
/// A map that is in only one of the two is a single difference; a map that is in both is
/// compared key by key.
pub fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let sections = [
        ("zones", to_json(&old.zones), to_json(&new.zones)),
        ("services", to_json(&old.services), to_json(&new.services)),
        ("servers", to_json(&old.servers), to_json(&new.servers)),
        ("workspaces", to_json(&old.workspaces), to_json(&new.workspaces)),
    ];
    let mut differences = Vec::new();
    for (name, old, new) in &sections {
        compare(name, old, new, &mut differences);
    }
    differences
}

fn to_json<T: Serialize>(section: &T) -> serde_json::Value {
    serde_json::to_value(section).unwrap_or(serde_json::Value::Null)
}

fn compare(
    place: &str,
    old: &serde_json::Value,
    new: &serde_json::Value,
    differences: &mut Vec<Difference>,
) {
    match (old, new) {
        (serde_json::Value::Object(old), serde_json::Value::Object(new)) => {
            let keys: BTreeMap<_, _> = old
                .keys()
                .chain(new.keys())
                .map(|key| (key, (old.get(key), new.get(key))))
                .collect();
            for (key, pair) in keys {
                compare_entry(format!("{place}.{key}"), pair, differences);
            }
        }
        _ if old == new => {}
        _ => {
            let side = Change::Changed { from: old.clone(), to: new.clone() };
            differences.push(Difference { place: place.to_owned(), side });
        }
    }
}

fn compare_entry(
    place: String,
    pair: (Option<&serde_json::Value>, Option<&serde_json::Value>),
    differences: &mut Vec<Difference>,
) {
    match pair {
        (Some(old), Some(new)) => compare(&place, old, new, differences),
        (Some(old), None) => {
            differences.push(Difference { place, side: Change::Removed(old.clone()) })
        }
        (None, Some(new)) => {
            differences.push(Difference { place, side: Change::Added(new.clone()) })
        }
        (None, None) => {}
    }
}
