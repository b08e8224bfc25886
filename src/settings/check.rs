//! The sense of host settings, once their shape is read.

use super::{Role, Settings};
use crate::{
    config, name,
    yaml::{Findings, Node},
};

/// Shortest token, in bytes.
pub const TOKEN_BYTES: usize = 16;

/// Longest token, in bytes.
const TOKEN_LIMIT_BYTES: usize = 256;

/// Adds a finding for each thing of `settings` that cannot be meant; `node` is its tree.
pub fn check(settings: &Settings, node: &Node, out: &mut Findings) {
    names(settings, node, out);
    role(settings, node, out);
    token(&settings.token, node, out);
    urls(settings, node, out);
    ports(settings, node, out);
}

fn names(settings: &Settings, node: &Node, out: &mut Findings) {
    host(&settings.host, &settings.zone, node, out);
    let server = settings.backend.as_ref().map(|backend| backend.server.as_str());
    if let Some(server) = server {
        name(server, &["backend", "server"], node, out);
    }
}

/// Adds a finding for each of `host` and `zone` that is not a name.
pub fn host(host: &name::Host, zone: &name::Zone, node: &Node, out: &mut Findings) {
    name(host.as_str(), &["host"], node, out);
    name(zone.as_str(), &["zone"], node, out);
}

fn name(name: &str, place: &[&str], node: &Node, out: &mut Findings) {
    if !config::is_name(name) {
        out.add(node.place(place), format!("`{name}` is not a name"), config::name_remedy());
    }
}

fn role(settings: &Settings, node: &Node, out: &mut Findings) {
    match settings.role {
        Role::Entry if settings.callers.is_none() => {
            let remedy = "Add `callers:` with the address that the balancer sends to";
            out.add(node.place(&["role"]), "An entry needs an address for callers", remedy);
        }
        Role::Sidecar if settings.backend.is_none() => {
            let remedy = "Add `backend:` with its `server` and `url`";
            out.add(node.place(&["role"]), "A sidecar needs a backend server", remedy);
        }
        _ => {}
    }
    if settings.role == Role::Entry && settings.backend.is_some() {
        let remedy = "Remove `backend`, or set `role: sidecar`";
        out.add(node.place(&["backend"]), "An entry has no backend server", remedy);
    }
    if settings.role == Role::Sidecar && settings.callers.is_some() {
        let remedy = "Remove `callers`, or set `role: entry`";
        out.add(node.place(&["callers"]), "A sidecar takes no callers", remedy);
    }
}

/// Adds a finding if `token` cannot be presented by operators and processes.
pub fn token(token: &str, node: &Node, out: &mut Findings) {
    let token = token.as_bytes();
    let remedy = "Write a secret made by a random generator, the same on every host";
    if token.len() < TOKEN_BYTES || token.len() > TOKEN_LIMIT_BYTES {
        let problem = format!(
            "The token has {} bytes, not {TOKEN_BYTES} to {TOKEN_LIMIT_BYTES}",
            token.len()
        );
        out.add(node.place(&["token"]), problem, remedy);
    }
    if !token.iter().all(u8::is_ascii_graphic) {
        let problem = "The token has blanks or bytes beyond ASCII";
        out.add(node.place(&["token"]), problem, remedy);
    }
}

fn urls(settings: &Settings, node: &Node, out: &mut Findings) {
    let backend = settings.backend.as_ref().map(|backend| backend.url.as_str());
    let urls =
        [(&["platform"][..], Some(settings.platform.as_str())), (&["backend", "url"][..], backend)];
    for (place, url) in urls {
        if let Some(url) = url.filter(|url| !is_root(url)) {
            let remedy = "Write `http://`, an address and a port, without a slash at the end";
            out.add(node.place(place), format!("`{url}` is not an HTTP root"), remedy);
        }
    }
}

fn is_root(url: &str) -> bool {
    let Some(rest) = url.strip_prefix("http://") else { return false };
    let root = rest.split('/').next().unwrap_or(rest);
    !root.is_empty() && !url.ends_with('/') && rest.bytes().all(|byte| byte.is_ascii_graphic())
}

fn ports(settings: &Settings, node: &Node, out: &mut Findings) {
    let ports = [
        ("callers", settings.callers),
        ("operators", Some(settings.operators)),
        ("peers", Some(settings.peers)),
    ];
    for (i, (key, address)) in ports.iter().enumerate() {
        let fixed = address.filter(|address| address.port() != 0);
        let twin = ports[..i].iter().find(|(_, had)| fixed.is_some() && *had == fixed);
        if let Some((had, _)) = twin {
            let problem = format!("`{key}` and `{had}` have the same address");
            out.add(node.place(&[key]), problem, "Give each a port of its own");
        }
    }
}
