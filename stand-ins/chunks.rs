//! A chunked HTTP/1.1 answer that is flushed piece by piece.

use std::io;

/// An answer under way. `tiny_http`'s own chunking holds pieces back.
pub struct Chunks(Box<dyn io::Write + Send>);

impl Chunks {
    /// Sends the status line and headers.
    pub fn begin(req: tiny_http::Request, kind: &str) -> io::Result<Self> {
        let mut tx = req.into_writer();
        write!(
            tx,
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        tx.flush()?;
        Ok(Self(tx))
    }

    /// Sends one piece at once.
    pub fn piece(&mut self, data: &str) -> io::Result<()> {
        write!(self.0, "{:x}\r\n{data}\r\n", data.len())?;
        self.0.flush()
    }

    /// Ends the answer whole.
    pub fn end(mut self) -> io::Result<()> {
        self.0.write_all(b"0\r\n\r\n")?;
        self.0.flush()
    }

    /// Breaks the answer off: the framing that follows is invalid on purpose.
    pub fn cut(mut self) {
        let _ = self.0.write_all(b"cut\r\n\r\n").and_then(|()| self.0.flush());
    }
}
