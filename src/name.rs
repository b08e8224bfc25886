//! Names used in a configuration, with one type for each kind of name.

use std::{borrow, fmt};

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates the name without checking its spelling, which `config::check` does.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    )*};
}

names! {
    /// Name of a service in the configuration: a model group or a plain service.
    Service;
    /// Name of a customer's workspace, which callers send in a request header.
    Workspace;
    /// Name of an availability zone.
    Zone;
    /// Name of a backend server: one model engine worker or one process of a plain service.
    Server;
    /// Name of a host of the platform, on which one process of the system runs.
    Host;
    /// Hash of what requests may have in common: a part of their prompts, or all of them.
    Fingerprint;
}

/// Begins the fingerprints of whole requests; hashes of parts of prompts contain no colon.
const REQUEST_PREFIX: &str = "request:";

impl Fingerprint {
    /// Creates the fingerprint of a whole request from its hash.
    pub fn of_request(hash: u128) -> Self {
        Self(format!("{REQUEST_PREFIX}{hash:032x}"))
    }

    /// Returns whether this is the fingerprint of a whole request.
    pub fn is_of_request(&self) -> bool {
        self.0.starts_with(REQUEST_PREFIX)
    }
}
