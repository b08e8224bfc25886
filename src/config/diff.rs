//! Differences between two configurations, for operators.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::Config;

/// Whether something was added, removed or changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It is only in the new configuration.
    Added(serde_json::Value),
    /// It is only in the old configuration.
    Removed(serde_json::Value),
    /// It is in both and differs.
    Changed {
        /// In the old configuration.
        from: serde_json::Value,
        /// In the new configuration.
        to: serde_json::Value,
    },
}

/// One difference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Keys that lead there, such as `services.ledger-app.limits.body-bytes`.
    pub place: String,
    /// What differs.
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

/// What changes from `old` to `new`, in the order of places.
///
/// Something added or removed whole is one difference; what stands in both is
/// compared key by key.
pub fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let sections = [
        ("zones", tree(&old.zones), tree(&new.zones)),
        ("services", tree(&old.services), tree(&new.services)),
        ("servers", tree(&old.servers), tree(&new.servers)),
        ("workspaces", tree(&old.workspaces), tree(&new.workspaces)),
    ];
    let mut out = Vec::new();
    for (name, old, new) in &sections {
        compare(name, old, new, &mut out);
    }
    out
}

fn tree<T: Serialize>(section: &T) -> serde_json::Value {
    serde_json::to_value(section).unwrap_or(serde_json::Value::Null)
}

fn compare(
    place: &str,
    old: &serde_json::Value,
    new: &serde_json::Value,
    out: &mut Vec<Difference>,
) {
    match (old, new) {
        (serde_json::Value::Object(old), serde_json::Value::Object(new)) => {
            let keys: BTreeMap<_, _> = old
                .keys()
                .chain(new.keys())
                .map(|key| (key, (old.get(key), new.get(key))))
                .collect();
            for (key, pair) in keys {
                entry(format!("{place}.{key}"), pair, out);
            }
        }
        _ if old == new => {}
        _ => {
            let side = Change::Changed { from: old.clone(), to: new.clone() };
            out.push(Difference { place: place.to_owned(), side });
        }
    }
}

fn entry(
    place: String,
    pair: (Option<&serde_json::Value>, Option<&serde_json::Value>),
    out: &mut Vec<Difference>,
) {
    match pair {
        (Some(old), Some(new)) => compare(&place, old, new, out),
        (Some(old), None) => out.push(Difference { place, side: Change::Removed(old.clone()) }),
        (None, Some(new)) => out.push(Difference { place, side: Change::Added(new.clone()) }),
        (None, None) => {}
    }
}
