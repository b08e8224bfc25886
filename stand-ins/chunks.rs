//! HTTP/1.1 answer in chunked encoding that is flushed after each chunk.

use std::io;

/// Answer whose body is being sent. The chunked encoding of `tiny_http` delays chunks.
pub struct ChunkedAnswer(Box<dyn io::Write + Send>);

impl ChunkedAnswer {
    /// Starts the answer: sends the status line, the content type `kind` and `headers`.
    pub fn start(
        req: tiny_http::Request,
        kind: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<Self> {
        let mut tx = req.into_writer();
        write!(tx, "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(tx, "{name}: {value}\r\n")?;
        }
        write!(tx, "\r\n")?;
        tx.flush()?;
        Ok(Self(tx))
    }

    /// Sends one chunk immediately.
    pub fn send_chunk(&mut self, data: &str) -> io::Result<()> {
        write!(self.0, "{:x}\r\n{data}\r\n", data.len())?;
        self.0.flush()
    }

    /// Ends the answer as complete.
    pub fn finish(mut self) -> io::Result<()> {
        self.0.write_all(b"0\r\n\r\n")?;
        self.0.flush()
    }

    /// Aborts the answer by sending invalid chunk framing.
    pub fn abort(mut self) {
        let _ = self.0.write_all(b"cut\r\n\r\n").and_then(|()| self.0.flush());
    }
}
