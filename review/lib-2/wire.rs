//! HTTP/1.1 as the stand-ins speak it: requests that are read from a connection, and answers.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread, time,
};

/// A message that was read: a request, or an answer with its status in `target`.
#[derive(Clone, Debug)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path of the target without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of the next message; `None` at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.trim_end().splitn(3, ' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.push((name.to_owned(), value.trim().to_owned())),
            None => break,
        }
    }
    Ok(Some(Message { method, target, headers, body: Vec::new() }))
}

/// Reads the next message with its body, which has a length or comes in chunks.
pub fn read(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else { return Ok(None) };
    let chunked = message.header("transfer-encoding").is_some_and(|coding| coding == "chunked");
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    if chunked {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Returns an answer with a JSON body.
pub fn json_answer(status: u16, more_headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n{more_headers}\r\n{body}"
    )
    .into_bytes()
}

/// Listens on `addr`, and calls `serve` on a thread of its own for each connection.
pub fn listen(
    addr: SocketAddr,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let _ = conn.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = serve(conn);
            });
        }
    });
    Ok(())
}

/// Serves each request of a connection with the answer that `answer` returns.
pub fn serve_requests(
    conn: TcpStream,
    mut answer: impl FnMut(&Message) -> Vec<u8>,
) -> io::Result<()> {
    let mut out = conn.try_clone()?;
    let mut from = BufReader::new(conn);
    while let Some(message) = read(&mut from)? {
        out.write_all(&answer(&message))?;
    }
    Ok(())
}

/// A generator of random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn seeded(salt: u64) -> Self {
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self((now.as_nanos() as u64 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15)) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() >> 16) as usize % limit.max(1)
    }
}

/// Encodes bytes in base64.
pub fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let bytes = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            out.push(if digit <= chunk.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    out
}
