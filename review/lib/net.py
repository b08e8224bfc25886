"""Small HTTP/1.1 parts for the stand-ins and clients of the review, on asyncio and the standard library."""

import asyncio
import json
import socket


class Request:
    """A request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def header(self, name):
        return self.headers.get(name.lower())

    def args(self):
        pairs = (pair.partition("=") for pair in self.query.split("&") if pair)
        return {key: value for key, _, value in pairs}


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower().endswith("chunked"):
        body = b""
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(status, headers, reason="Answer"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole_answer(status, body=b"", headers=()):
    return head_bytes(status, [*headers, ("Content-Length", len(body))]) + body


def json_answer(status, value, headers=()):
    return whole_answer(
        status, json.dumps(value).encode(), [("Content-Type", "application/json"), *headers]
    )


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(ip, port, handle):
    """Serves HTTP/1.1. `handle(request, reader, writer, state)` answers one request and returns whether
    the connection stays open; `state` is a dict of the connection."""

    async def on_connection(reader, writer):
        state = {}
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body)
                if not await handle(request, reader, writer, state):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port, backlog=512)


def free_port(ips):
    """Returns a port that is free on all of `ips`."""
    while True:
        probe = socket.socket()
        probe.bind((ips[0], 0))
        port = probe.getsockname()[1]
        others = []
        try:
            for ip in ips[1:]:
                other = socket.socket()
                others.append(other)
                other.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for sock in [probe, *others]:
                sock.close()


class Answer:
    """An answer as a client saw it. `end` is `complete`, `cut` or `none`."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.end = "none"


class Client:
    """A client with one kept connection. `window` and `segment` limit the socket's receive buffer and
    segment size, in bytes."""

    def __init__(self, addr, window=None, segment=None):
        self.addr = addr
        self.window = window
        self.segment = segment
        self.reader = None
        self.writer = None

    async def socket(self):
        """Opens a connection and returns its socket."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if self.window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        if self.segment:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment)
        await asyncio.get_running_loop().sock_connect(sock, self.addr)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(sock=await self.socket())

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, target, headers, body=b"", timeout=2.0):
        """Sends one request and reads its whole answer."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    await self.connect()
                self.writer.write(request_bytes(method, target, headers, body))
                head = await read_head(self.reader)
                if head is None:
                    answer.end = "closed"
                    self.close()
                    return answer
                answer.status = int(head[0].split(" ")[1])
                answer.headers = head[1]
                answer.end = "cut"
                answer.body = await read_body(self.reader, head[1])
                answer.end = "complete"
                if head[1].get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            answer.end = "timeout" if answer.end == "none" else answer.end
            self.close()
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as err:
            answer.end = f"closed ({type(err).__name__})" if answer.status is None else "cut"
            self.close()
        return answer
