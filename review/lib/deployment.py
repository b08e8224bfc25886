"""A small deployment on loopback addresses: the project's programs as the deploy file starts them, with
settings rendered from its templates, a stand-in of the store, and a record of what happened."""

import asyncio
import os
import pathlib
import random
import re
import signal
import sys
import tempfile
import time

import net
import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the site file sites/piensaime-lv.toml.
BOUNDS = {
    "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "retry_budget_slack": 90, "stall_ms": 1500,
}


def role(name):
    """Returns the program and the template of a role of the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    section = text.split(f"[roles.{name}]")[1].split("[roles.")[0]
    field = lambda key: re.search(rf'^{key} = "(.*)"$', section, re.M).group(1)
    return field("run").split(" "), (ROOT / field("template")).read_text()


def render(template, values):
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: str(values[m.group(1)]), template)


# Exit codes of a play. An error of Python itself, which exits with 1, must not count as a broken rule:
# run.sh turns the first into 1.
BROKEN, HELD, CANNOT_RUN = 10, 0, 2


class Record:
    """The lines of record.txt, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


class Site:
    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.case / "record.txt")
        self.dir = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = []
        self.next_id = random.Random(1)

    async def start_store(self):
        self.store = await store.Store().start("127.0.0.1")
        return self.store

    def request_id(self):
        return f"{self.next_id.getrandbits(64):016x}"

    async def start_process(self, role_name, node, ip, values):
        run, template = role(role_name)
        settings = pathlib.Path(self.dir.name) / f"{node}.yaml"
        bounds = {f"bounds.{key}": value for key, value in BOUNDS.items()}
        address = f"{self.store.addr[0]}:{self.store.addr[1]}"
        settings.write_text(render(template, {
            "node_name": node, "ip": ip, "platform.address": address, **bounds, **values,
        }))
        log = open(pathlib.Path(self.dir.name) / f"{node}.log", "w")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["KNAPWEEDFORD_CONFIG"] = str(settings)
        if "RUST_LOG" in os.environ:
            env["RUST_LOG"] = os.environ["RUST_LOG"]
        process = await asyncio.create_subprocess_exec(
            str(ROOT / run[0]), *run[1:], cwd=ROOT, env=env, stdout=log, stderr=log,
        )
        self.processes.append(process)
        self.record.line(f"started {role_name} {node} at {ip}")
        return process

    async def start_gateway(self, node, ip, zone, ports):
        process = await self.start_process("gateway", node, ip, {
            "zone": zone, "listen.front": f"{ip}:{ports[0]}", "listen.ready": f"{ip}:{ports[1]}",
            "internal_port_range.0": ports[2], "internal_port_range.1": ports[3],
        })
        process.front = (ip, ports[0])
        process.ready = (ip, ports[1])
        return process

    async def start_agent(self, node, ip, zone, service, app_port, ports):
        return await self.start_process("rank", node, ip, {
            "zone": zone, "app": f"{ip}:{app_port}", "service": service,
            "internal_port_range.0": ports[2], "internal_port_range.1": ports[3],
        })

    async def is_ready(self, gateway):
        client = net.Client(gateway.ready)
        answer = await client.request("GET", "/-/readyz", [("Host", "ready")], timeout=1.0)
        client.close()
        return answer.status == 200

    async def wait_ready(self, gateways, timeout=15.0):
        deadline = time.monotonic() + timeout
        for gateway in gateways:
            while not await self.is_ready(gateway):
                if time.monotonic() > deadline:
                    raise CannotRun("a gateway did not become ready")
                await asyncio.sleep(0.1)

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for log in pathlib.Path(self.dir.name).glob("*.log"):
                (pathlib.Path(keep) / log.name).write_text(log.read_text())
        self.dir.cleanup()


class CannotRun(Exception):
    """The case cannot run here."""


def run(case, play):
    """Runs `play(site)`, which returns the list of breaches of the rule, and exits as a case does."""

    async def main():
        site = Site(case)
        try:
            async with asyncio.timeout(115):
                breaches = await play(site)
        except Exception as err:  # Whatever else fails, the rule was not tried.
            site.record.line(f"the case could not run: {err!r}")
            print(f"could not run: {err!r}")
            return CANNOT_RUN
        finally:
            await site.stop()
        for breach in breaches:
            site.record.line(f"BROKEN {breach}")
        verdict = "broken" if breaches else "held"
        site.record.line(f"the rule was {verdict} ({len(breaches)} times)")
        print(f"trouble={int(site.trouble)} the rule was {verdict} ({len(breaches)} times)")
        return BROKEN if breaches else HELD

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
