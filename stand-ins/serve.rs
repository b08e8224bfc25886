//! HTTP server of the stand-ins: `tiny_http` with limits on body size and number of threads.

use std::{io, net, os::fd, sync, thread};

use anyhow::Context;
use serde::Serialize;

#[path = "nudge.rs"]
mod nudge;

/// Maximum length that is read of a request body; the rest is ignored.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Stack size of a worker thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Request whose body has been read.
pub struct Call {
    /// The request; its body has been consumed.
    pub req: tiny_http::Request,
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body, cut to the maximum length.
    pub body: Vec<u8>,
}

impl Call {
    /// Returns the value of the header `name`; upper and lower case are equal.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req
            .headers()
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// Sends an answer with a JSON body; ignores a closed connection.
    pub fn json<T: Serialize>(self, status: u16, value: &T) {
        let text = serde_json::to_string(value).expect("plain data serializes");
        let kind = tiny_http::Header::from_bytes("Content-Type", "application/json")
            .expect("the header is well-formed");
        let res = tiny_http::Response::from_string(text)
            .with_status_code(status)
            .with_header(kind)
            .with_chunked_threshold(usize::MAX);
        let _ = self.req.respond(res);
    }
}

/// Listens on `address`, prints the address and serves requests with `threads` threads until the
/// process ends.
pub fn run<F>(address: net::SocketAddr, threads: usize, answer: F) -> anyhow::Result<()>
where
    F: Fn(Call) + Send + Sync + 'static,
{
    let server = sync::Arc::new(listen(address)?);
    let answer = sync::Arc::new(answer);
    let workers: Vec<_> = (0..threads)
        .map(|_| {
            let (server, answer) = (server.clone(), answer.clone());
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || serve_requests(&server, &*answer))
        })
        .collect::<io::Result<_>>()
        .context("Could not start the worker threads; choose fewer with --threads.")?;
    workers.into_iter().for_each(|worker| {
        let _ = worker.join();
    });
    Ok(())
}

fn listen(address: net::SocketAddr) -> anyhow::Result<tiny_http::Server> {
    let listener = net::TcpListener::bind(address)
        .with_context(|| format!("Could not listen on {address}; choose a free address."))?;
    // Accepted connections inherit the option; tiny_http has no way to set it.
    net::TcpStream::from(fd::OwnedFd::from(listener.try_clone()?)).set_nodelay(true)?;
    nudge::start(listener.local_addr()?);
    println!("listening {}", listener.local_addr()?);
    tiny_http::Server::from_listener(listener, None).map_err(|err| anyhow::anyhow!(err))
}

fn serve_requests(server: &tiny_http::Server, answer: &impl Fn(Call)) {
    while let Ok(mut req) = server.recv() {
        let mut body = Vec::new();
        let read =
            io::Read::read_to_end(&mut io::Read::take(req.as_reader(), MAX_BODY_BYTES), &mut body);
        if read.is_err() {
            continue;
        }
        let method = req.method().as_str().to_owned();
        let path = req.url().to_owned();
        answer(Call { req, method, path, body });
    }
}
