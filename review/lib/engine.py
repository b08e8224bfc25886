"""Stand-in for a group of model engines that run their passes together."""

import asyncio
import json
import time

import net
import site_config

SETS, EXPERTS, PLACES, SPARE = 4, 72, 8, 3
STEPS_PER_PASS, STEP_MS, PER_REQUEST_MS = 6, 4.84, 0.362
# Time to copy one expert of 2,200 MB at 180,000 Mbit/s.
COPY_S = 2200 * 8 / 180000
SLOTS, QUEUE = 12, 24
EPOCH = 1


def piece(request_id, n, size):
    """Returns event `n` of the answer to a request: the same at each engine."""
    data = f"{request_id}-{n}-".ljust(size, "x")
    return f"id: {n}\ndata: {data}\n\n".encode()


class Engine:
    """One rank."""

    def __init__(self, group, rank, ip, zone):
        self.group, self.rank, self.ip, self.zone = group, rank, ip, zone
        self.name = f"i-engine{rank:02}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.pace = 1.0
        self.running = 0
        self.long_streams = 0
        self.counts = [0] * (SETS * EXPERTS)
        in_turn = [(rank * PLACES + n) % EXPERTS for n in range(PLACES)]
        self.map = (0, [sorted(in_turn) for _ in range(SETS)])
        self.prepared = None
        self.newest_version = 0
        self.copying = None
        self.armed = None
        self.held = None

    async def start(self, port):
        self.port = port
        self.server = await net.serve(self.ip, port, self.handle)
        self.beating = asyncio.create_task(self.beat())

    def membership(self):
        return {
            "group": {"name": "g-1", "epoch": EPOCH, "rank": self.rank, "state": "open"},
            "size": len(self.group.ranks),
        }

    async def beat(self):
        while True:
            self.seq += 1
            await self.group.site.store.put("servers", self.name, {
                "service": site_config.ENGINES, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0,
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self.seq, "born": self.born, **self.membership(),
            })
            await asyncio.sleep(1.2)

    def report(self):
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.copying is not None, "seq": 0, "queued": 0, "running": self.running,
            "kv_used": 1000 * self.running, "kv_total": 494000, "handles": 0, "born": self.born,
            "step": self.group.step, "map": self.map[0],
            "prepared": self.prepared[0] if self.prepared else None,
            "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
            "held": self.held, "pace": self.pace, **self.membership(),
        }

    def order(self, order):
        """Carries out an order; returns the status of the answer."""
        if order.get("epoch", EPOCH) != EPOCH:
            return 409
        operation = order["operation"]
        if operation == "prepare":
            version, new_map = order["version"], [ranks[self.rank] for ranks in order["map"]]
            if version <= self.newest_version or self.armed:
                return 409
            copies = max(len(set(new) - set(old)) for new, old in zip(new_map, self.map[1]))
            if copies > SPARE:
                return 409
            self.newest_version = version
            self.prepared = None
            if self.copying:
                self.copying.cancel()
            self.copying = asyncio.create_task(self.copy(version, new_map, copies))
            return 202
        if operation == "arm":
            if not self.prepared or self.prepared[0] != order["version"]:
                return 409
            if order["step"] <= self.group.step:
                return 409
            self.armed = (order["version"], order["step"])
            return 200
        if operation == "disarm":
            if self.map[0] == order["version"]:
                return 409
            if self.armed and self.armed[0] == order["version"]:
                self.armed = None
            return 200
        if operation == "hold":
            if self.held not in (None, order["step"]) or order["step"] <= self.group.step:
                return 409
            self.held = order["step"]
            return 200
        if operation == "go":
            if self.held == order["step"]:
                self.held = None
                self.group.wake.set()
            return 200
        return 400

    async def copy(self, version, new_map, copies):
        await asyncio.sleep(COPY_S * copies)
        self.prepared = (version, new_map)
        self.copying = None

    def begin_pass(self, step):
        if self.armed and self.armed[1] <= step:
            self.map, self.armed, self.prepared = self.prepared, None, None
        if self.running:
            for n in range(len(self.counts)):
                self.counts[n] += 4 * self.running

    async def handle(self, request, reader, writer, state):
        if request.path == "/-/report":
            writer.write(net.json_answer(200, self.report()))
            return True
        if request.path == "/-/picked":
            body = {"step": self.group.step, "epoch": EPOCH}
            lists = lambda held: held and {"version": held[0], "experts": held[1]}
            if "lists" in request.query:
                body |= {"map": lists(self.map), "prepared": lists(self.prepared)}
            else:
                body["counts"] = self.counts
            writer.write(net.json_answer(200, body))
            return True
        if request.path == "/-/order":
            order = json.loads(request.body)
            status = self.order(order)
            text = {key: value for key, value in order.items() if key != "map"}
            self.group.site.record.line(f"{self.name} order {text}: {status}")
            writer.write(net.json_answer(status, {}))
            return True
        expected = request.header("x-knapweedford-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(net.whole_answer(421, b"", [("X-Knapweedford-Instance-Id", self.name)]))
            return True
        if request.path == site_config.HEALTH_PATH:
            writer.write(net.whole_answer(200, b"", [("X-Knapweedford-Instance-Id", self.name)]))
            return True
        return await self.stream(request, writer)

    async def stream(self, request, writer):
        """Answers a stream whose number and size of events its body states."""
        request_id = request.header("x-knapweedford-request-id")
        if self.running >= SLOTS + QUEUE:
            writer.write(net.whole_answer(503, b"", [("X-Knapweedford-Not-Executed", "1")]))
            return True
        wanted = json.loads(request.body)
        first = int(request.header("last-event-id") or 0) + 1
        self.group.site.record.line(f"{self.name} runs {request_id} from event {first}")
        self.running += 1
        self.long_streams += wanted["events"] > 26
        self.group.wake.set()
        last = first - 1
        try:
            writer.write(net.head_bytes(200, [
                ("X-Knapweedford-Request-Id", request_id),
                ("X-Knapweedford-Response-Seal", f"seal.{self.name}.{request_id}"),
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
            ]))
            for n in range(first, wanted["events"] + 1):
                await self.group.next_pass()
                if writer.transport.is_closing():
                    return False
                event = piece(request_id, n, wanted["size"])
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                last = n
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
            self.group.site.record.line(f"{self.name} ends {request_id} after event {last}")
        await writer.drain()
        return True


class Group:
    """The ranks of one group, and the loop of their passes."""

    def __init__(self, site, ips, zones):
        self.site = site
        self.ranks = []
        self.ranks += [Engine(self, rank, ip, zones[rank % len(zones)]) for rank, ip in enumerate(ips)]
        self.step = 0
        self.wake = asyncio.Event()
        self.ended = asyncio.Event()

    async def start(self, port):
        for rank in self.ranks:
            await rank.start(port)
        self.looping = asyncio.create_task(self.loop())

    async def next_pass(self):
        """Waits until the pass under way ends."""
        await self.ended.wait()

    def is_held(self):
        return any(rank.held == self.step + 1 for rank in self.ranks)

    async def loop(self):
        while True:
            if self.is_held() or not any(rank.running for rank in self.ranks):
                self.wake.clear()
                await self.wake.wait()
                continue
            self.step += 1
            for rank in self.ranks:
                rank.begin_pass(self.step)
            step_ms = max(
                (STEP_MS + PER_REQUEST_MS * rank.running) * rank.pace for rank in self.ranks
                if rank.running
            )
            await asyncio.sleep(STEPS_PER_PASS * step_ms / 1000)
            ended, self.ended = self.ended, asyncio.Event()
            ended.set()
