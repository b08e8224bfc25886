//! A link to one address over loopback that can be slowed, reset, cut one way or silenced.

use std::{
    io::{Read, Write},
    net::{self, Shutdown},
    sync, thread,
    time::Duration,
};

/// What the link does with what comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Passes it on.
    Open,
    /// Passes it on this much later.
    Slow(Duration),
    /// Resets connections.
    Reset,
    /// Drops what goes to the address.
    CutThere,
    /// Drops what comes back.
    CutBack,
    /// Drops everything; no connection is closed.
    Silent,
}

/// A link that runs until the process ends.
#[derive(Clone)]
pub struct Link {
    /// Where it listens.
    pub addr: net::SocketAddr,
    way: sync::Arc<sync::Mutex<Way>>,
}

impl Link {
    /// Opens a link to `to`.
    pub fn open(to: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        let link = Self { addr, way: sync::Arc::new(sync::Mutex::new(Way::Open)) };
        let serving = link.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let link = serving.clone();
                thread::spawn(move || link.carry(caller, to));
            }
        });
        link
    }

    /// Changes what the link does, also with open connections.
    pub fn set(&self, way: Way) {
        *self.way.lock().expect("no panics") = way;
    }

    fn way(&self) -> Way {
        *self.way.lock().expect("no panics")
    }

    fn carry(&self, caller: net::TcpStream, to: net::SocketAddr) {
        let (Ok(server), Ok(back)) = (net::TcpStream::connect(to), caller.try_clone()) else {
            return;
        };
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let Ok(there) = server.try_clone() else { return };
        let link = self.clone();
        let backwards = thread::spawn(move || link.pump(server, back, Way::CutBack));
        self.pump(caller, there, Way::CutThere);
        let _ = backwards.join();
    }

    /// Carries one direction, which `cut` drops, until either end closes.
    fn pump(&self, mut from: net::TcpStream, mut to: net::TcpStream, cut: Way) {
        let mut buf = [0; 16 << 10];
        loop {
            let len = match from.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(len) => len,
            };
            match self.way() {
                Way::Silent => continue,
                way if way == cut => continue,
                Way::Reset => {
                    for end in [&from, &to] {
                        // Closing with a linger time of zero resets the connection.
                        let _ = socket2::SockRef::from(end).set_linger(Some(Duration::ZERO));
                        let _ = end.shutdown(Shutdown::Both);
                    }
                    return;
                }
                Way::Slow(by) => thread::sleep(by),
                Way::Open | Way::CutThere | Way::CutBack => {}
            }
            if to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
