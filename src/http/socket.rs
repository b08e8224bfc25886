//! The socket of a client's connection.

use std::{io, pin, sync::Arc, task};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::clients::{CONNECTION_BYTES, Charge, Client, SEND_BUFFER_BYTES};

/// Bytes of a request head that count with the connection; a larger head is charged.
const FREE_HEAD_BYTES: usize = CONNECTION_BYTES / 4;

/// A client's socket, which records how fast the client sends and reads.
pub struct ClientSocket {
    socket: tokio::net::TcpStream,
    client: Arc<Client>,
    write_blocked: bool,
    /// Bytes received since the client began to send a request head.
    head_bytes: usize,
    /// Memory for what a head has beyond [`FREE_HEAD_BYTES`].
    head_charge: Option<Charge>,
}

impl ClientSocket {
    /// Takes a socket whose connection was accepted for `client`, and limits its buffers.
    pub fn new(socket: tokio::net::TcpStream, client: Arc<Client>) -> Self {
        super::client::set_socket_options(&socket);
        let raw = socket2::SockRef::from(&socket);
        if let Err(err) = raw.set_send_buffer_size(SEND_BUFFER_BYTES) {
            log::debug!("the size of a send buffer could not be set: {err}");
        }
        Self { socket, client, write_blocked: false, head_bytes: 0, head_charge: None }
    }

    /// Client of the connection.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }

    /// Counts `received` bytes if they belong to a request head.
    fn record_head(&mut self, received: usize) -> io::Result<()> {
        if !self.client.is_at_head() {
            return Ok(());
        }
        // A new head replaces the one before.
        if self.client.take_new_head() {
            (self.head_bytes, self.head_charge) = (0, None);
        }
        self.head_bytes += received;
        let excess = self.head_bytes.saturating_sub(FREE_HEAD_BYTES);
        if excess == 0 {
            return Ok(());
        }
        // The HTTP library doubles its buffer as the head grows.
        let charged = match &mut self.head_charge {
            Some(charge) => charge.resize(2 * excess),
            none => self.client.charge(2 * excess).map(|charge| *none = Some(charge)),
        };
        charged.map_err(|err| io::Error::new(io::ErrorKind::OutOfMemory, err))
    }

    fn record_write(&mut self, written: &task::Poll<io::Result<usize>>) {
        match written {
            task::Poll::Pending if !self.write_blocked => {
                self.write_blocked = true;
                self.client.record_blocked();
            }
            task::Poll::Ready(Ok(bytes)) if self.write_blocked => {
                self.write_blocked = false;
                self.client.record_read(*bytes);
            }
            _ => {}
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if let Some(bytes) = self.client.take_receive_buffer() {
            let raw = socket2::SockRef::from(&self.socket);
            if let Err(err) = raw.set_recv_buffer_size(bytes) {
                log::debug!("the size of a receive buffer could not be set: {err}");
            }
        }
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.socket).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.record_head(received)?;
        }
        polled
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.socket).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
