//! TCP proxy over loopback to a single address. It can delay or drop data, or reset connections.

use std::{
    io::{Read, Write},
    net::{self, Shutdown},
    sync, thread,
    time::Duration,
};

/// How the link treats data and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards data at once.
    Open,
    /// Forwards data after a delay.
    Delayed(Duration),
    /// Resets a connection on its next data.
    Reset,
    /// Drops data to the server.
    DropToServer,
    /// Drops data from the server to the client.
    DropToClient,
    /// Drops all data and keeps connections open.
    DropAll,
}

/// Link that runs until the process ends.
#[derive(Clone)]
pub struct Link {
    /// Address on which the link listens.
    pub addr: net::SocketAddr,
    mode: sync::Arc<sync::Mutex<LinkMode>>,
}

impl Link {
    /// Opens a link to the server at `server_addr`.
    pub fn open(server_addr: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let link = Self { addr, mode: sync::Arc::new(sync::Mutex::new(LinkMode::Open)) };
        let accepting = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = accepting.clone();
                thread::spawn(move || link.relay(client, server_addr));
            }
        });
        link
    }

    /// Sets the mode, which takes effect on open connections too.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.mode.lock().expect("no thread panics while it holds the mode") = mode;
    }

    fn mode(&self) -> LinkMode {
        *self.mode.lock().expect("no thread panics while it holds the mode")
    }

    /// Connects to the server and forwards data both ways until both directions are closed.
    fn relay(&self, client: net::TcpStream, server_addr: net::SocketAddr) {
        let (Ok(server), Ok(to_client)) =
            (net::TcpStream::connect(server_addr), client.try_clone())
        else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let Ok(to_server) = server.try_clone() else { return };
        let link = self.clone();
        let answers =
            thread::spawn(move || link.forward(server, to_client, LinkMode::DropToClient));
        self.forward(client, to_server, LinkMode::DropToServer);
        let _ = answers.join();
    }

    /// Forwards data in one direction until either end closes. Data is dropped in the mode
    /// `drop_mode`.
    fn forward(&self, mut from: net::TcpStream, mut to: net::TcpStream, drop_mode: LinkMode) {
        let mut buf = [0; 16 << 10];
        loop {
            let len = match from.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(len) => len,
            };
            match self.mode() {
                LinkMode::DropAll => continue,
                mode if mode == drop_mode => continue,
                LinkMode::Reset => {
                    for end in [&from, &to] {
                        // Closing with a linger time of zero resets the connection.
                        let _ = socket2::SockRef::from(end).set_linger(Some(Duration::ZERO));
                        let _ = end.shutdown(Shutdown::Both);
                    }
                    return;
                }
                LinkMode::Delayed(delay) => thread::sleep(delay),
                LinkMode::Open | LinkMode::DropToServer | LinkMode::DropToClient => {}
            }
            if to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
