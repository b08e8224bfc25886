//! HTTP/1.1, JSON and base64 for the stand-ins, with the standard library only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(data: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(data, &mut at)?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip_space(data: &[u8], at: &mut usize) {
    while data.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(data: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(data, at);
    match data.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(data, at);
                match data.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(data, at)? else { return None };
                        skip_space(data, at);
                        (*data.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        map.insert(key, parse_value(data, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(data, at);
                match data.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(data, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match data.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(text).ok().map(Json::Text);
                    }
                    b'\\' => {
                        let escaped = *data.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(data.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let mut buf = [0; 4];
                                let c = char::from_u32(code).unwrap_or('?');
                                text.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                            }
                            other => text.push(other),
                        }
                    }
                    byte => {
                        text.push(*byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while data.get(*at).is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&data[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

pub fn base64(data: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let bytes = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for n in 0..4 {
            match n <= chunk.len() {
                true => out.push(SIGNS[(bits >> (18 - 6 * n)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.filter(|_| bytes[at] == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(conn: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if head.line.is_empty() && line.is_empty() => {}
            _ if head.line.is_empty() => head.line = line.to_owned(),
            _ if line.is_empty() => return Ok(Some(head)),
            Some((name, value)) => head.headers.push((name.into(), value.trim().into())),
            None => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads the body of a request, which has a stated length.
pub fn read_body(conn: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    conn.read_exact(&mut body)?;
    Ok(body)
}

pub fn write_answer(
    conn: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| out += &format!("{name}: {value}\r\n"));
    let mut out = (out + "\r\n").into_bytes();
    out.extend_from_slice(body);
    conn.write_all(&out)
}

pub fn write_json(conn: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    write_answer(conn, status, &[("Content-Type", "application/json")], body.as_bytes())
}

/// What a client saw of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came to its regular end.
    pub complete: bool,
}

/// Sends one request on a new connection and reads the answer until `deadline`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    deadline: Instant,
) -> Seen {
    let mut seen = Seen::default();
    let _ = exchange(addr, method, target, headers, body, deadline, &mut seen);
    seen
}

fn left(deadline: Instant) -> io::Result<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        Err(io::ErrorKind::TimedOut.into())
    } else {
        Ok(left)
    }
}

fn exchange(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    deadline: Instant,
    seen: &mut Seen,
) -> io::Result<()> {
    let mut conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(left(deadline)?))?;
    conn.set_nodelay(true)?;
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    headers.iter().for_each(|(name, value)| out += &format!("{name}: {value}\r\n"));
    if method != "GET" {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut out = (out + "\r\n").into_bytes();
    out.extend_from_slice(body);
    conn.write_all(&out)?;
    conn.set_read_timeout(Some(left(deadline)?))?;
    let mut reader = BufReader::new(conn);
    let Some(head) = read_head(&mut reader)? else { return Ok(()) };
    (seen.status, seen.head) = (head.status(), head.clone());
    let is_chunked = head.header("transfer-encoding").is_some_and(|c| c.contains("chunked"));
    let length = head.header("content-length").and_then(|n| n.parse::<usize>().ok());
    match length {
        _ if is_chunked => loop {
            reader.get_ref().set_read_timeout(Some(left(deadline)?))?;
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                seen.complete = true;
                return Ok(());
            }
            seen.body.extend_from_slice(&chunk[..size]);
        },
        Some(length) => {
            let mut rest = vec![0; length];
            reader.read_exact(&mut rest)?;
            seen.body = rest;
            seen.complete = true;
            Ok(())
        }
        None => {
            reader.read_to_end(&mut seen.body)?;
            seen.complete = true;
            Ok(())
        }
    }
}
