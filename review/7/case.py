"""A group of 12 engines, the platform's store and 12 rank agents; see claim.txt.

Engines and store are stand-ins in this process, on loopback addresses. The agents are the program of
the deploy file. Engines follow PROTOCOL.md, sections "Requests" (groups, passes, orders) and
"Service discovery"; their reports are always fresh.
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
# For tracing only: "row" or "kill" makes one of the two disruptions alone.
ONLY = os.environ.get("ONLY", "")
RANKS, SETS, EXPERTS, PLACES, SPARE = 12, 4, 72, 8, 3
SLOTS, PASS_S, COPY_S, SHIFT_S = 12, 0.06, 2200 * 8 / 180000, 3.0
VICTIM, DECOY = 9, 3
DOWN_S, PERIOD_S, FIRST_KILL_S, LENGTH_S = 3.0, 8.0, 12.0, 70.0
EPOCH, GROUP = 1, "g-1"

record = open(os.environ.get("RECORD", os.path.join(HERE, "record.txt")), "w")
started = time.monotonic()


def note(text):
    record.write(f"{time.monotonic() - started:8.3f} {text}\n")
    record.flush()


class Engine:
    def __init__(self, rank):
        self.rank, self.seq, self.newest = rank, 0, 0
        self.map = (0, [[e for e in range(EXPERTS) if e % RANKS == rank] for _ in range(SETS)])
        self.copying = self.prepared = self.armed = self.held = None
        self.counts = [0] * (SETS * EXPERTS)
        self.born = int(time.time() * 1000)


class Group:
    def __init__(self):
        self.engines = [Engine(rank) for rank in range(RANKS)]
        self.step, self.mixed, self.changes = 0, [], 0
        self.shift()

    def shift(self):
        """Other experts are in demand."""
        self.shifted = time.monotonic()
        self.weights = []
        for _ in range(SETS):
            hot = set(random.sample(range(EXPERTS), 6))
            self.weights += [30 if e in hot else 1 for e in range(EXPERTS)]

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            if time.monotonic() > self.shifted + SHIFT_S:
                self.shift()
            next_step = self.step + 1
            if any(e.held == next_step for e in self.engines):
                continue
            self.step = next_step
            before = self.engines[0].map[0]
            for e in self.engines:
                if e.armed and e.armed[1] == next_step:
                    note(f"rank {e.rank} switches to map {e.armed[0]} as pass {next_step} begins")
                    e.map, e.prepared, e.armed = e.prepared, None, None
                for i, w in enumerate(self.weights):
                    e.counts[i] += w * random.randint(8, 12)
            self.changes += self.engines[0].map[0] != before
            versions = [e.map[0] for e in self.engines]
            if len(set(versions)) > 1:
                self.mixed.append(next_step)
                if len(self.mixed) == 1:
                    note(f"RULE MAP BROKEN: pass {next_step} begins with the maps {versions}")

    def order(self, rank, body):
        """Carries out an order; returns the status of the answer."""
        e, op = self.engines[rank], body.get("operation")
        version, step = body.get("version", 0), body.get("step", 0)
        if body.get("epoch", EPOCH) != EPOCH:
            return 409
        if op == "prepare":
            copied = e.prepared or e.copying
            if copied and copied[0] == version:
                return 200
            own = [layer[rank] for layer in body["map"]]
            new = [len(set(own[s]) - set(e.map[1][s])) for s in range(SETS)]
            covered = all(len({x for r in layer for x in r}) == EXPERTS for layer in body["map"])
            if version <= e.newest or e.armed or max(new) > SPARE or not covered:
                return 409
            if max(len(held) for held in own) > PLACES:
                return 409
            e.newest, e.prepared, e.copying = version, None, (version, own)

            def copied_all():
                if e.copying and e.copying[0] == version:
                    e.prepared, e.copying = e.copying, None

            delay = sum(new) * COPY_S
            if delay == 0:
                copied_all()
            else:
                asyncio.get_running_loop().call_later(delay, copied_all)
        elif op == "arm":
            if e.armed == (version, step):
                return 200
            if e.armed or not e.prepared or e.prepared[0] != version or step <= self.step:
                return 409
            e.armed = (version, step)
        elif op == "disarm":
            if e.map[0] == version:
                return 409
            if not e.armed or e.armed[0] != version:
                return 200
            e.armed = None
        elif op == "hold":
            if e.held == step:
                return 200
            if step <= self.step or e.held is not None:
                return 409
            e.held = step
        elif op == "go":
            if e.held != step:
                return 200
            e.held = None
        else:
            return 400
        e.seq += 1
        return 202

    def report(self, rank):
        e = self.engines[rank]
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False, "seq": e.seq, "queued": 1, "running": 10, "kv_used": 41000,
            "kv_total": 494000, "handles": 0, "pace": 1.0, "born": e.born, "size": RANKS,
            "group": {"name": GROUP, "epoch": EPOCH, "rank": rank, "state": "open"},
            "step": self.step, "map": e.map[0], "prepared": e.prepared and e.prepared[0],
            "armed": e.armed and {"version": e.armed[0], "step": e.armed[1]}, "held": e.held,
        }

    def lists(self, rank):
        e = self.engines[rank]
        form = lambda m: m and {"version": m[0], "experts": m[1]}
        return {"step": self.step, "epoch": EPOCH, "map": form(e.map), "prepared": form(e.prepared)}


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *fields = head.split("\r\n")
    method, target, _ = line.split(" ")
    headers = dict(f.lower().split(": ", 1) for f in fields if ": " in f)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, body


def serve(handle):
    async def connection(reader, writer):
        try:
            while True:
                status, body = await handle(*await read_request(reader))
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return connection


def engine_handler(group, rank):
    async def handle(method, target, body):
        if target == "/-/report":
            return 200, group.report(rank)
        if target.startswith("/-/picked"):
            if "lists" in target:
                return 200, group.lists(rank)
            counts = group.engines[rank].counts
            return 200, {"step": group.step, "epoch": EPOCH, "counts": counts}
        if target == "/-/order":
            order = json.loads(body)
            status = group.order(rank, order)
            what = {k: v for k, v in order.items() if k != "map"}
            note(f"order at rank {rank}: {json.dumps(what)} -> {status}")
            return status, {}
        return 404, {}

    return handle


class Store:
    def __init__(self):
        self.tables, self.ver = {"op": {}, "servers": {}}, 0

    def put(self, table, key, value):
        self.ver += 1
        value = base64.b64encode(json.dumps(value).encode()).decode()
        self.tables[table][key] = {
            "table": table, "part": "", "key": key, "value": value, "ver": self.ver}

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        table = self.tables.get(query.get("table"), {})
        if path == "/-/rows-get":
            rows = [table[key] for key in sorted(table) if key >= query.get("from", "")]
            return 200, {"rows": rows, "truncated": False, "ver": self.ver, "now_ms": 1}
        return 404, {}


CONFIG = {
    "version": 3, "routes": [],
    "services": [{"name": "llm", "cold_per_s": 36.0, "engine": {
        "slots": SLOTS, "sets": SETS, "experts": EXPERTS, "places": PLACES, "spare": SPARE,
        "stride": 6, "step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "chunk": 512,
        "read_per_s": 74800, "pairs_per_m": 0.232, "expert_share": 0.85, "expert_mb": 2200.0,
        "link_mbps": 180000.0, "usual": {"prompt": 810, "answer": 156}, "report_lag_ms": 200}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


def row(address, rank, born, service="llm"):
    return {
        "service": service, "address": address, "zone": "riga-a", "version": "1", "slots": SLOTS,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": born, "size": RANKS,
        "group": {"name": GROUP, "epoch": EPOCH, "rank": rank, "state": "open"}}


def free_ports(ips, count):
    """Returns ports that are free at all of the addresses."""
    while True:
        ports = [random.randint(20000, 30000) for _ in range(count)]
        try:
            for port in ports:
                for ip in ips:
                    with socket.socket() as s:
                        s.bind((ip, port))
            return ports
        except OSError:
            continue


async def main(folder, agents):
    ips = [f"127.0.2.{rank + 1}" for rank in range(RANKS)]
    engine_port, peer_port, operator_port, store_port = free_ports(ips + ["127.0.0.1"], 4)
    group, store = Group(), Store()
    for rank, ip in enumerate(ips):
        await asyncio.start_server(serve(engine_handler(group, rank)), ip, engine_port)
        store.put("servers", f"i-{rank:02}", row(f"{ip}:{engine_port}", rank, group.engines[rank].born))
    store.put("op", "config", CONFIG)
    if TROUBLE and ONLY != "kill":
        # A row of another writer: its service is in no configuration.
        born = int(time.time() * 1000) + 500
        foreign = row(f"{ips[DECOY]}:{engine_port}", VICTIM, born, service="not-ours")
        store.put("servers", "foreign-1", foreign)
        note(f"foreign row: {json.dumps(foreign)}")
    await asyncio.start_server(serve(store.handle), "127.0.0.1", store_port)

    template = open(os.path.join(ROOT, "deploy", "rank.yaml")).read()

    def start(rank):
        fields = {
            "node_name": f"side-{rank}", "zone": "riga-a", "app": f"{ips[rank]}:{engine_port}",
            "service": "llm", "ip": ips[rank], "internal_port_range.0": str(peer_port),
            "internal_port_range.1": str(operator_port),
            "platform.address": f"127.0.0.1:{store_port}", "bounds.grace_s": "8"}
        text = template
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", value)
        path = os.path.join(folder, f"rank-{rank}.yaml")
        with open(path, "w") as f:
            f.write(text)
        env = {"PATH": os.environ["PATH"], "KNAPWEEDFORD_CONFIG": path}
        log = open(os.path.join(folder, f"rank-{rank}.log"), "a")
        program = os.path.join(ROOT, "target", "release", "knapweedfordd")
        agents[rank] = subprocess.Popen([program], cwd=ROOT, env=env, stdout=log, stderr=log)

    for rank in range(RANKS):
        start(rank)
    passes = asyncio.create_task(group.run())

    async def heartbeats():
        for seq in range(2, 10_000):
            await asyncio.sleep(1.2)
            for rank, ip in enumerate(ips):
                value = row(f"{ip}:{engine_port}", rank, group.engines[rank].born)
                store.put("servers", f"i-{rank:02}", value | {"seq": seq})

    beating = asyncio.create_task(heartbeats())
    begun = time.monotonic()
    next_kill = begun + FIRST_KILL_S
    while time.monotonic() < begun + LENGTH_S and not group.mixed:
        await asyncio.sleep(0.1)
        if TROUBLE and ONLY != "row" and time.monotonic() > next_kill:
            next_kill += PERIOD_S
            note(f"SIGKILL to the agent of rank {VICTIM}")
            agents[VICTIM].kill()
            agents[VICTIM].wait()
            until = time.monotonic() + DOWN_S
            while time.monotonic() < until and not group.mixed:
                await asyncio.sleep(0.1)
            start(VICTIM)
            note(f"agent of rank {VICTIM} started again")
    if group.mixed:
        await asyncio.sleep(2)
    passes.cancel()
    beating.cancel()
    note(f"{group.step} passes, {group.changes} changes of the map, {len(group.mixed)} mixed passes")
    print(f"{group.step} passes, {group.changes} changes, {len(group.mixed)} mixed passes")
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(0.1)
    if group.mixed:
        return 1
    # Without the disruption the map has to change, or nothing was tested.
    return 0 if TROUBLE or group.changes >= 5 else 2


if __name__ == "__main__":
    agents, code = {}, 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(main(folder, agents))
        except Exception:
            traceback.print_exc()
            code = 2
        finally:
            for agent in agents.values():
                agent.send_signal(signal.SIGKILL)
                agent.wait()
            if os.environ.get("KEEP_LOGS"):
                subprocess.run(["cp", "-r", folder, os.environ["KEEP_LOGS"]], check=False)
    sys.exit(code)
