//! Keeps `tiny_http` from leaving connections in its queue.
//!
//! `tiny_http` 0.12 hands a new connection to a thread that it assumes to be idle. If two
//! connections arrive at the same time, the second may stay in the queue until a keep-alive
//! connection closes. Each later connection makes a thread check the queue, so this module opens
//! one regularly.

use std::{net, thread, time};

/// Time between two connections.
const CONNECT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Starts a thread that regularly opens and closes a connection to `address`.
pub fn start(address: net::SocketAddr) {
    thread::spawn(move || {
        loop {
            thread::sleep(CONNECT_INTERVAL);
            let _ = net::TcpStream::connect(address);
        }
    });
}
