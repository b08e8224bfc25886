"""Stand-in for the workers of a plain service, and the configuration of the deployment."""

import asyncio
import time

import net
import site_config


class Plain:
    """One worker. `answer(worker, request, writer, state)` may answer a request in place of the worker;
    it returns None to let the worker answer."""

    def __init__(self, site, name, ip, zone, service, work_s=0.03, answer=None):
        self.site, self.name, self.ip, self.zone, self.service = site, name, ip, zone, service
        self.work_s, self.answer = work_s, answer
        self.runs = {}
        self.born = int(time.time() * 1000)
        self.seq = 0

    async def start(self):
        self.server = await net.serve(self.ip, 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.create_task(self.beat())
        return self

    async def beat(self):
        while True:
            self.seq += 1
            await self.site.store.put("servers", self.name, {
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
                "seq": self.seq, "born": self.born,
            })
            await asyncio.sleep(1.2)

    def seal(self, request_id):
        return f"seal.{self.name}.{request_id}"

    async def handle(self, request, reader, writer, state):
        if request.path == site_config.HEALTH_PATH:
            writer.write(net.whole_answer(200, b"", [("X-Knapweedford-Instance-Id", self.name)]))
            return True
        expected = request.header("x-knapweedford-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(net.whole_answer(421, b"", [("X-Knapweedford-Instance-Id", self.name)]))
            return True
        request_id = request.header("x-knapweedford-request-id")
        if self.answer is not None:
            answered = await self.answer(self, request, writer, state)
            if answered is not None:
                return answered
        await self.run(request_id)
        self.write_answer(writer, request_id)
        await writer.drain()
        return True

    async def run(self, request_id):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.site.record.line(f"{self.name} runs {request_id}")
        await asyncio.sleep(self.work_s)

    def body(self, request_id):
        return f"the sheet of {request_id}\n".encode()

    def write_answer(self, writer, request_id, status=200):
        headers = [
            ("X-Knapweedford-Request-Id", request_id),
            ("X-Knapweedford-Response-Seal", self.seal(request_id)),
        ]
        writer.write(net.whole_answer(status, self.body(request_id), headers))
        self.site.record.line(f"{self.name} answers {request_id} with {status}")
