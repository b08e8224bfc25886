//! Keeps connections from waiting behind others in `tiny_http`.
//!
//! `tiny_http` 0.12 gives a new connection to a thread that it believes idle;
//! of two that arrive at once, the second may wait until a connection that is
//! kept open ends. Any later connection makes a thread look for those that wait.

use std::{net, thread, time};

/// Time between two connections.
const PERIOD: time::Duration = time::Duration::from_millis(100);

/// Opens and closes a connection to `address` again and again.
pub fn start(address: net::SocketAddr) {
    thread::spawn(move || {
        loop {
            thread::sleep(PERIOD);
            let _ = net::TcpStream::connect(address);
        }
    });
}
