"""A worker runs unsafe requests and answers 503 without stating that they did not run: is the client told
that they did not?"""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

import deployment
import net
import plain
import site_config

ZONES = ["riga-a", "riga-b", "riga-c"]
CLIENTS = 8
# Within the site's dose of `srv_grey`: a share of 0.14 of the workers, one at least, for 6.5 s, and 0.45 of their
# requests.
FAULT_S = 6.5
FAILED_OF_FIVE = 2


async def play(site):
    await site.start_store()
    ips = ["127.0.0.2", "127.0.0.3"]
    ports = [net.free_port(ips) for _ in range(4)]
    fault = {"until": 0.0, "seen": 0, "failed": 0}

    async def answer(worker, request, writer, state):
        request_id = request.header("x-knapweedford-request-id")
        if worker.name != "i-ledger0" or time.monotonic() > fault["until"]:
            return None
        fault["seen"] += 1
        if fault["seen"] % 5 >= FAILED_OF_FIVE:
            return None
        fault["failed"] += 1
        await worker.run(request_id)
        worker.write_answer(writer, request_id, 503)
        return True

    workers = [
        await plain.Plain(
            site, f"i-ledger{n}", f"127.0.0.{10 + n}", zone, site_config.LEDGER, 0.03, answer
        ).start()
        for n, zone in enumerate(ZONES)
    ]
    await site.store.put("op", "config", site_config.config(1))
    gateways = [
        await site.start_gateway(f"front-{ZONES[n]}-1", ip, ZONES[n], ports)
        for n, ip in enumerate(ips)
    ]
    await site.wait_ready(gateways)
    breaches = []

    async def post(gateway):
        client = net.Client(gateway.front)
        while True:
            request_id = site.request_id()
            site.record.line(f"client: {request_id} sent")
            answer = await client.request(
                "POST", "/puxa403/2f", site_config.headers(request_id, 1500), b"a payment", timeout=1.5
            )
            site.record.line(f"client: {request_id} gets {answer.status} ({answer.end})")
            if answer.status in (408, 421, 429, 503):
                if any(request_id in worker.runs for worker in workers):
                    breaches.append(f"{request_id} was answered {answer.status} and has run")
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(post(gateways[n % 2])) for n in range(CLIENTS)]
    await asyncio.sleep(3)
    if site.trouble:
        fault["until"] = time.monotonic() + FAULT_S
    await asyncio.sleep(FAULT_S + 1)
    for task in tasks:
        task.cancel()
    return breaches


deployment.run(CASE, play)
