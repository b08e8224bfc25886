//! The sidecar: the only way in to its backend server.
