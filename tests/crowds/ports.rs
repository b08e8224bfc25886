//! Crowds at the ports of a gateway that are not for clients.

use std::{iter, net};

use crate::crowd::{CROWD, Site, send_from_crowd};

/// Connections that the crowd opens to each port.
const CONNECTIONS: usize = 1_500;
/// Bytes of the body that each client sends with a request whose body nobody reads.
const BODY_BYTES: usize = 4 << 20;

fn ports(site: &Site) -> [net::SocketAddr; 2] {
    [site.gateway.readiness_addr, site.gateway.operators_addr]
}

/// Guards against ports that hold a descriptor and buffers for each connection that is opened.
#[test]
fn silent_connections() {
    let mut site = Site::start();
    let mut conns = Vec::new();
    for port in ports(&site) {
        conns.extend(send_from_crowd(port, CONNECTIONS, |_| iter::empty()));
    }
    site.assert_sound();
    assert!(site.gateway.is_ready(), "the balancer's check is refused");
    drop(conns);
}

/// Guards against ports that leave bodies in their sockets.
#[test]
fn unread_bodies() {
    let mut site = Site::start();
    let mut conns = Vec::new();
    for port in ports(&site) {
        conns.extend(send_from_crowd(port, CROWD, |_| {
            let head = format!(
                "POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            let body = iter::repeat_n(vec![b'x'; 64 << 10], (BODY_BYTES >> 16) - 1);
            iter::once(head.into_bytes()).chain(body)
        }));
    }
    site.assert_sound();
    assert!(site.gateway.is_ready(), "the balancer's check is refused");
    drop(conns);
}
