//! Body of the answer that refuses an operator's request.

use serde::{Deserialize, Serialize};

use crate::yaml;

/// The reason why an operator's request was refused.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// What is wrong and how to correct it, in full sentences.
    pub error: String,
    /// Errors in the configuration, if it was refused for them.
    #[serde(default, skip_serializing_if = "yaml::Findings::is_empty")]
    pub findings: yaml::Findings,
}
