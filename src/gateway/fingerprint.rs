//! Fingerprints of whole requests, by which one that comes again is recognized at any gateway.

use hyper::http::request;
use xxhash_rust::xxh3;

use crate::{http, name};

/// Returns the fingerprint of a request to `host` by a client of `workspace`: requests have the same
/// one if method, host, path with query, workspace and body are the same.
pub fn of_request(
    head: &request::Parts,
    host: &str,
    workspace: Option<&name::Workspace>,
    body: &http::Payload,
) -> name::Fingerprint {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let workspace = workspace.map_or("", name::Workspace::as_str);
    let mut hasher = xxh3::Xxh3::new();
    for field in [head.method.as_str(), host, target, workspace] {
        // The length keeps the border between two fields in the hash.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    body.segments().for_each(|segment| hasher.update(segment));
    name::Fingerprint::of_request(hasher.digest128())
}
