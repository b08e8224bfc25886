"""Stand-in for the platform's store: rows in tables, with the calls of the protocol page."""

import asyncio
import base64
import json
import time

import net


class Store:
    def __init__(self):
        self.rows = {}
        self.ver = 1
        self.changed = asyncio.Condition()
        self.started = time.monotonic()

    async def start(self, ip):
        self.server = await net.serve(ip, 0, self.handle)
        self.addr = self.server.sockets[0].getsockname()
        return self

    async def put(self, table, key, value):
        """Writes a row as the operator or a worker does; None removes it."""
        self.ver += 1
        encoded = None
        if value is not None:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, key] = (encoded, self.ver)
        async with self.changed:
            self.changed.notify_all()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def row(self, table, key):
        value, ver = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "ver": ver, "value": value or ""}
        if value is None:
            row["tombstone"] = True
        return row

    def table(self, table, after=None):
        keys = sorted(key for name, key in self.rows if name == table)
        rows = [self.row(table, key) for key in keys]
        if after is None:
            return [row for row in rows if "tombstone" not in row]
        return sorted((row for row in rows if row["ver"] > after), key=lambda row: row["ver"])

    async def feed(self, table, after, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            rows = self.table(table, after)
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return rows
            try:
                async with asyncio.timeout(left):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass

    def transact(self, call):
        for row in call.get("precondition", []):
            known = self.rows.get((row["table"], row["key"]))
            ver = known[1] if known and known[0] is not None else 0
            if ver != row["ver"]:
                return 412, {"rows": [], "ver": self.ver, "now_ms": self.now_ms()}
        self.ver += 1
        for row in call.get("puts", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            self.rows[row["table"], row["key"]] = (row["value"], self.ver)
        for row in call.get("remove", []):
            self.rows[row["table"], row["key"]] = (None, self.ver)
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    async def handle(self, request, reader, writer, state):
        args = request.args()
        status, body = 404, {}
        if request.path == "/-/rows-get":
            rows = self.table(args["table"])
            if "from" in args:
                rows = [row for row in rows if row["key"] >= args["from"]]
            status, body = 200, {"rows": rows, "truncated": False}
        elif request.path == "/-/rows-feed":
            rows = await self.feed(args["table"], int(args["after"]), int(args["wait_ms"]) / 1000)
            status, body = 200, {"rows": rows}
        elif request.path == "/-/rows-tx":
            status, body = self.transact(json.loads(request.body))
            async with self.changed:
                self.changed.notify_all()
        body = {"ver": self.ver, "now_ms": self.now_ms(), **body}
        writer.write(net.json_answer(status, body, [("Store-Era", "1")]))
        await writer.drain()
        return True
