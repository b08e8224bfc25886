"""A configuration lowers `max_header_bytes`: do ready gateways go on taking connections?"""

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
# `stable_window_ms` and `config_apply_ms` of the site file, in seconds.
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
# Clients that the rule asks for at least.
CLIENTS = 10


async def play(site):
    await site.start_store()
    ips = ["127.0.0.2", "127.0.0.3"]
    ports = [net.free_port(ips) for _ in range(4)]
    for n, zone in enumerate(ZONES):
        worker = plain.Plain(site, f"i-ledger{n}", f"127.0.0.{10 + n}", zone, site_config.LEDGER)
        await worker.start()
    await site.store.put("op", "config", site_config.config(1))
    gateways = [
        await site.start_gateway(f"front-{ZONES[n]}-1", ip, ZONES[n], ports)
        for n, ip in enumerate(ips)
    ]
    await site.wait_ready(gateways)
    # One entry for each request on a connection of its own: time, gateway and how it ended.
    tries = []
    ready = []

    async def ask(gateway):
        while True:
            at, request_id = time.monotonic(), site.request_id()
            client = net.Client(gateway.front)
            site.record.line(f"client: {request_id} sent to {gateway.front[0]}")
            answer = await client.request(
                "GET", "/cufi504/fi50/2f", site_config.headers(request_id, 1500), timeout=1.5
            )
            client.close()
            end = answer.status if answer.status is not None else answer.end
            site.record.line(f"client: {request_id} at {gateway.front[0]}: {end}")
            tries.append((at, gateway, end))
            await asyncio.sleep(0.25)

    async def poll(gateway):
        while True:
            ready.append((time.monotonic(), gateway, await site.is_ready(gateway)))
            await asyncio.sleep(0.5)

    tasks = [asyncio.create_task(poll(gateway)) for gateway in gateways]
    for _ in range(CLIENTS):
        tasks += [asyncio.create_task(ask(gateway)) for gateway in gateways]
        await asyncio.sleep(0.03)
    await asyncio.sleep(4)
    limit = 4096 if site.trouble else 16384
    await site.store.put("op", "config", site_config.config(2, max_header_bytes=limit))
    site.record.line(f"the store has acknowledged version 2, max_header_bytes {limit}")
    start = time.monotonic() + CONFIG_APPLY_S
    await asyncio.sleep(CONFIG_APPLY_S + STABLE_WINDOW_S + 0.5)
    for task in tasks:
        task.cancel()
    breaches = []
    for gateway in gateways:
        window = [end for at, of, end in tries if of is gateway and start <= at < start + STABLE_WINDOW_S]
        polls = [ok for at, of, ok in ready if of is gateway and start <= at < start + STABLE_WINDOW_S]
        answered = [end for end in window if isinstance(end, int)]
        before = [end for at, of, end in tries if of is gateway and at < start - CONFIG_APPLY_S]
        served = sum(end == 200 for end in before)
        site.record.line(
            f"{gateway.front[0]}: before {served} of {len(before)} served; in the window "
            f"{len(answered)} of {len(window)} answered, ready {sum(polls)} of {len(polls)}"
        )
        if served < len(before) * 0.9:
            raise deployment.CannotRun("the site did not serve before the change")
        if polls and all(polls) and len(window) >= 7 and not answered:
            breaches.append(
                f"{gateway.front[0]} said ready and took none of {len(window)} new connections "
                f"of {CLIENTS} clients in {STABLE_WINDOW_S} s"
            )
    return breaches


deployment.run(CASE, play)
