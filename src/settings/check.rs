//! Checks on the values of host settings after they are parsed.

use super::{Role, Settings};
use crate::{
    config, name,
    yaml::{Findings, Node},
};

/// Minimum length of a token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Maximum length of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 256;

/// Adds a finding for each invalid value of `settings`, which were parsed from `node`.
pub fn check_settings(settings: &Settings, node: &Node, findings: &mut Findings) {
    check_names(settings, node, findings);
    check_role(settings, node, findings);
    check_token(&settings.token, node, findings);
    check_urls(settings, node, findings);
    check_ports(settings, node, findings);
    settings.machine.check(node, findings);
}

fn check_names(settings: &Settings, node: &Node, findings: &mut Findings) {
    check_host(&settings.host, &settings.zone, node, findings);
    let server = settings.backend.as_ref().map(|backend| backend.server.as_str());
    if let Some(server) = server {
        check_name(server, &["backend", "server"], node, findings);
    }
}

/// Adds a finding for each of `host` and `zone` that is not a valid name.
pub fn check_host(host: &name::Host, zone: &name::Zone, node: &Node, findings: &mut Findings) {
    check_name(host.as_str(), &["host"], node, findings);
    check_name(zone.as_str(), &["zone"], node, findings);
}

fn check_name(name: &str, key_path: &[&str], node: &Node, findings: &mut Findings) {
    if !config::is_valid_name(name) {
        findings.add(
            node.mark_at(key_path),
            format!("`{name}` is not a valid name"),
            config::name_remedy(),
        );
    }
}

fn check_role(settings: &Settings, node: &Node, findings: &mut Findings) {
    match settings.role {
        Role::Entry if settings.callers.is_none() => {
            let remedy = "Add `callers:` with the address to which the balancer sends requests";
            findings.add(node.mark_at(&["role"]), "An entry needs an address for callers", remedy);
        }
        Role::Sidecar if settings.backend.is_none() => {
            let remedy = "Add `backend:` with its `server` and `url`";
            findings.add(node.mark_at(&["role"]), "A sidecar needs a backend server", remedy);
        }
        _ => {}
    }
    if settings.role == Role::Entry && settings.backend.is_some() {
        let remedy = "Remove `backend`, or set `role: sidecar`";
        findings.add(node.mark_at(&["backend"]), "An entry has no backend server", remedy);
    }
    if settings.role == Role::Sidecar && settings.callers.is_some() {
        let remedy = "Remove `callers`, or set `role: entry`";
        findings.add(node.mark_at(&["callers"]), "A sidecar takes no callers", remedy);
    }
}

/// Adds a finding for each reason why `token` cannot be used as the shared secret.
pub fn check_token(token: &str, node: &Node, findings: &mut Findings) {
    let token = token.as_bytes();
    let remedy = "Write a secret from a random generator, the same on every host";
    if token.len() < MIN_TOKEN_BYTES || token.len() > MAX_TOKEN_BYTES {
        let problem = format!(
            "The token has {} bytes, not {MIN_TOKEN_BYTES} to {MAX_TOKEN_BYTES}",
            token.len()
        );
        findings.add(node.mark_at(&["token"]), problem, remedy);
    }
    if !token.iter().all(u8::is_ascii_graphic) {
        let problem = "The token contains blanks or non-ASCII characters";
        findings.add(node.mark_at(&["token"]), problem, remedy);
    }
}

fn check_urls(settings: &Settings, node: &Node, findings: &mut Findings) {
    let backend = settings.backend.as_ref().map(|backend| backend.url.as_str());
    let urls =
        [(&["platform"][..], Some(settings.platform.as_str())), (&["backend", "url"][..], backend)];
    for (key_path, url) in urls {
        if let Some(url) = url.filter(|url| !is_http_root(url)) {
            let remedy = "Write `http://`, an address and a port, without a slash at the end";
            findings.add(node.mark_at(key_path), format!("`{url}` is not an HTTP root"), remedy);
        }
    }
}

fn is_http_root(url: &str) -> bool {
    let Some(rest) = url.strip_prefix("http://") else { return false };
    let authority = rest.split('/').next().unwrap_or(rest);
    !authority.is_empty() && !url.ends_with('/') && rest.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_ports(settings: &Settings, node: &Node, findings: &mut Findings) {
    let ports = [
        ("callers", settings.callers),
        ("operators", Some(settings.operators)),
        ("peers", Some(settings.peers)),
    ];
    for (i, (key, address)) in ports.iter().enumerate() {
        let fixed_address = address.filter(|address| address.port() != 0);
        let duplicate = ports[..i]
            .iter()
            .find(|(_, earlier)| fixed_address.is_some() && *earlier == fixed_address);
        if let Some((earlier_key, _)) = duplicate {
            let problem = format!("`{key}` and `{earlier_key}` have the same address");
            findings.add(node.mark_at(&[key]), problem, "Use a different port for each");
        }
    }
}
