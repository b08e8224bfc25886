//! Names of the things a configuration speaks of, each its own type.

use std::{borrow, fmt};

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Takes the name as it is; `config::check` judges its spelling.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as text.
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
    /// A service of the operators' text: a model group or a plain service.
    Service;
    /// A customer's workspace, as callers name it in a request header.
    Workspace;
    /// An availability zone.
    Zone;
    /// A backend server: one model engine worker or one plain service process.
    Server;
    /// A host of the platform, on which one process of the system runs.
    Host;
}
