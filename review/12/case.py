"""Two gateways, three servers of a plain service and the platform's store; see claim.txt.

Servers, store and clients are stand-ins in this process, on loopback addresses. The gateways are the
program of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS, SERVERS = 2, 3
WORK_S, RATE_PER_S, DEADLINE_MS, RECOVER_S = 0.06, 20, 1500, 12
BEFORE_S, AFTER_S, DOWN_S = 10, 10, 0.8
HOST, KEY = "ledger.example", "n2ctnfzs989anu6wsjnb"

record = open(os.environ.get("RECORD", os.path.join(HERE, "record.txt")), "w")
started = time.monotonic()


def note(text):
    record.write(f"{time.monotonic() - started:8.3f} {text}\n")
    record.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *fields = head.split("\r\n")
    headers = {}
    for field in fields:
        name, colon, value = field.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return line, headers


def serve(handle):
    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.split(" ")
                status, more, data = await handle(method, target, headers, body)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                head += "".join(f"{name}: {value}\r\n" for name, value in more.items())
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return connection


class Server:
    """A server of the plain service: runs a request for some time and echoes its id."""

    def __init__(self, name):
        self.name = name
        self.born = int(time.time() * 1000)

    async def handle(self, method, target, headers, body):
        request_id = headers.get("x-knapweedford-request-id", "")
        if headers.get("x-knapweedford-expect-instance", self.name) != self.name:
            note(f"{self.name} answers {request_id} with 421")
            return 421, {"X-Knapweedford-Request-Id": request_id,
                         "X-Knapweedford-Not-Executed": "1"}, b""
        note(f"{self.name} runs {request_id}")
        await asyncio.sleep(WORK_S)
        seal = f"{self.name}.{request_id}"
        return 200, {"X-Knapweedford-Request-Id": request_id,
                     "X-Knapweedford-Response-Seal": seal}, b"x" * 800


class Store:
    def __init__(self):
        self.tables, self.ver, self.changed = {}, 0, asyncio.Event()

    def put(self, table, key, data):
        self.tables.setdefault(table, {})[key] = {
            "table": table, "part": "", "key": key, "value": data, "ver": self.ver}

    def write(self, table, key, value):
        self.ver += 1
        self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        table = self.tables.setdefault(query.get("table", ""), {})
        answer = lambda rows: (200, {"Content-Type": "application/json"}, json.dumps(
            {"rows": rows, "truncated": False, "ver": self.ver, "now_ms": 1}).encode())
        if path == "/-/rows-get":
            return answer([table[key] for key in sorted(table) if key >= query.get("from", "")])
        if path == "/-/rows-feed":
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                rows = [row for row in table.values() if row["ver"] > int(query["after"])]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return answer(sorted(rows, key=lambda row: row["ver"]))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/rows-tx":
            entries = json.loads(body)
            self.ver += 1
            for put in entries.get("puts", []):
                self.put(put["table"], put["key"], put["value"])
            for gone in entries.get("remove", []):
                self.tables.get(gone["table"], {}).pop(gone["key"], None)
            self.wake()
            return answer([])
        return 404, {}, b"{}"


CONFIG = {
    "version": 3,
    "routes": [{"name": "read-results", "host": HOST, "prefix": "/read/", "kind": "safe",
                "service": "ledger-app", "max_attempts": 2, "timeout_ms": 1500,
                "target_latency_ms": 300, "priority": 2}],
    "services": [{"name": "ledger-app", "health_path": "/healthz"}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "hule930", "api_keys": [KEY]}],
}


def row(address, born, service="ledger-app"):
    return {"service": service, "address": address, "zone": "riga-a", "version": "1", "slots": 6,
            "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": born}


def free_ports(ips, count):
    """Returns ports that are free at all of the addresses."""
    while True:
        ports = random.sample(range(20000, 30000), count)
        try:
            for port in ports:
                for ip in ips:
                    with socket.socket() as s:
                        s.bind((ip, port))
            return ports
        except OSError:
            continue


async def call(ip, port, target, headers):
    """Sends a GET request; returns the status and headers of the complete answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n{fields}\r\n".encode())
        line, headers = await read_head(reader)
        await reader.readexactly(int(headers.get("content-length", 0)))
        return int(line.split(" ")[1]), headers
    finally:
        writer.close()


async def send(ip, port, number):
    """Sends a request, and once more after a refusal; returns whether it was served."""
    until = time.monotonic() + DEADLINE_MS / 1000
    for attempt in range(2):
        request_id = f"{number:06}-{attempt}"
        left = until - time.monotonic()
        if left <= 0:
            return False
        headers = {"X-Knapweedford-Request-Id": request_id, "Api-Key": KEY,
                   "X-Knapweedford-Deadline-Ms": str(int(left * 1000))}
        try:
            status, answered = await asyncio.wait_for(call(ip, port, "/read/2f", headers), left)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as err:
            note(f"request {request_id} to {ip}: {type(err).__name__}")
            continue
        note(f"request {request_id} to {ip}: {status}")
        if status == 200 and answered.get("x-knapweedford-response-seal"):
            return True
        wait = float(answered.get("retry-after", "0"))
        if status != 503 or wait > (until - time.monotonic()) / 3:
            return False
        await asyncio.sleep(wait)
    return False


async def main(folder, gateways):
    ips = [f"127.0.3.{n + 1}" for n in range(GATEWAYS)]
    front, ready, control, peer_port, operator_port = free_ports(ips, 5)
    server_ips = [f"127.0.3.{n + 11}" for n in range(SERVERS)]
    (server_port,) = free_ports(server_ips, 1)
    (store_port,) = free_ports(["127.0.0.1"], 1)
    store = Store()
    servers = [Server(f"i-{n}") for n in range(SERVERS)]
    for ip, server in zip(server_ips, servers):
        await asyncio.start_server(serve(server.handle), ip, server_port)
        store.write("servers", server.name, row(f"{ip}:{server_port}", server.born))
    store.write("op", "config", CONFIG)

    async def heartbeats():
        for seq in range(2, 10_000):
            await asyncio.sleep(1.2)
            for ip, server in zip(server_ips, servers):
                value = row(f"{ip}:{server_port}", server.born)
                store.write("servers", server.name, value | {"seq": seq})

    beating = asyncio.create_task(heartbeats())
    await asyncio.start_server(serve(store.handle), "127.0.0.1", store_port)
    template = open(os.path.join(ROOT, "deploy", "gateway.yaml")).read()

    def start(n):
        fields = {
            "node_name": f"front-{n}", "zone": "riga-a", "ip": ips[n],
            "listen.front": f"{ips[n]}:{front}", "listen.ready": f"{ips[n]}:{ready}",
            "internal_port_range.0": str(peer_port), "internal_port_range.1": str(operator_port),
            "platform.address": f"127.0.0.1:{store_port}", "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10", "bounds.retry_budget_slack": "90",
            "bounds.drain_ms": "2000", "bounds.config_apply_ms": "2000",
            "bounds.stall_ms": "1500", "bounds.grace_s": "8"}
        text = template
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", value)
        path = os.path.join(folder, f"front-{n}.yaml")
        with open(path, "w") as f:
            f.write(text)
        env = {"PATH": os.environ["PATH"], "KNAPWEEDFORD_CONFIG": path}
        log = open(os.path.join(folder, f"front-{n}.log"), "a")
        program = os.path.join(ROOT, "target", "release", "knapweedfordd")
        gateways[n] = subprocess.Popen([program], cwd=ROOT, env=env, stdout=log, stderr=log)

    async def is_ready(ip):
        try:
            return (await asyncio.wait_for(call(ip, ready, "/-/readyz", {}), 1))[0] == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def all_ready(timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all([await is_ready(ip) for ip in ips]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def traffic(first, seconds):
        """Sends requests at an even rate; returns how many were sent and served."""
        tasks = []
        for n in range(seconds * RATE_PER_S):
            tasks.append(asyncio.create_task(send(random.choice(ips), front, first + n)))
            await asyncio.sleep(1 / RATE_PER_S)
        return len(tasks), sum(await asyncio.gather(*tasks))

    for n in range(GATEWAYS):
        start(n)
    if not await all_ready(15):
        return 2
    sent, served = await traffic(0, BEFORE_S)
    note(f"before the final fault: {served} of {sent} served")
    if served * 4 < sent:
        return 2
    note("final fault: SIGKILL to all gateways")
    for gateway in gateways.values():
        gateway.kill()
        gateway.wait()
    if TROUBLE:
        # Rows of another writer: their service is in no configuration.
        for n, ip in enumerate(server_ips):
            foreign = row(f"{ip}:{server_port}", servers[n].born + 500, service="not-ours")
            store.write("servers", f"foreign-{n}", foreign)
            note(f"foreign row: {json.dumps(foreign)}")
    await asyncio.sleep(DOWN_S)
    for n in range(GATEWAYS):
        start(n)
    note("gateways started again")
    await asyncio.sleep(RECOVER_S + 0.5)
    sent, served = await traffic(10_000, AFTER_S)
    beating.cancel()
    note(f"later than {RECOVER_S} s after the machines were back: {served} of {sent} served")
    print(f"after the final fault: {served} of {sent} served")
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(0.1)
    if served * 4 < sent:
        note("RULE RECOVER BROKEN")
        return 1
    return 0


if __name__ == "__main__":
    gateways, code = {}, 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(main(folder, gateways))
        except Exception:
            traceback.print_exc()
            code = 2
        finally:
            for gateway in gateways.values():
                gateway.send_signal(signal.SIGKILL)
                gateway.wait()
            if os.environ.get("KEEP_LOGS"):
                subprocess.run(["cp", "-r", folder, os.environ["KEEP_LOGS"]], check=False)
    sys.exit(code)
