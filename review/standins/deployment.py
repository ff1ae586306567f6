"""A small deployment on loopback: the store, instances and workers.

The store and the clients live in the process of the case; each instance and
each worker is a process of its own. All are ended when the case ends.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

import httpd
from store import Store

HOST = "127.0.0.1"
HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
INSTANCE = ROOT / "target/bin/chivecrank_instance"
TEMPLATE = ROOT / "platform/instance.toml.in"
COULD_NOT_RUN = 2


given_ports = set()


def free_port():
    """A port that nobody uses, below those that outgoing channels take."""
    while True:
        port = random.randrange(15000, 30000)
        if port in given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        given_ports.add(port)
        return port


def render(text, fields):
    """Fills in the placeholders of a template that our settings use."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match[1])
        if value is None:
            return ""
        return match[2].replace("{{.|json}}", json.dumps(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}",
                  lambda m: json.dumps(look_up(m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m[1])), text)


class Process:
    """A program that the case started."""

    def __init__(self, arguments, log, env=None):
        self.arguments = [str(a) for a in arguments]
        self.log = log
        self.env = env
        self.child = None

    async def start(self):
        with open(self.log, "ab") as out:
            self.child = await asyncio.create_subprocess_exec(
                *self.arguments, stdin=asyncio.subprocess.DEVNULL, stdout=out,
                stderr=out, env=self.env, cwd=ROOT)

    def lives(self):
        """How often a stand-in worker has said that it is up."""
        if not self.log.exists():
            return 0
        return self.log.read_text().count('"event": "up"')

    def signal(self, number):
        self.child.send_signal(number)

    async def kill(self):
        if self.child and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()


class Deployment:
    def __init__(self, bounds, service="svc"):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = bounds
        self.service = service
        self.store = Store()
        self.instances = []
        self.workers = {}
        self.record = []
        self.began = time.time()

    def note(self, event, **fields):
        self.record.append({"ms": int(time.time() * 1000), "event": event,
                            **fields})

    async def start_store(self):
        self.store_port = free_port()
        self.register_port = free_port()
        self.servers = [
            await self.store.start(HOST, self.store_port),
            await httpd.serve(HOST, self.register_port, self.on_register)]

    async def on_register(self, request):
        self.store.put(request.path[1:], request.body.decode())
        return 200, {}

    def write_config(self, routes, version=7):
        """`routes`: Name, Host, Prefix and what else differs."""
        whole = {"Version": version, "Routes": [], "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        whole["Services"] = [{
            "Name": self.service, "HealthPath": "/health", "MaxConns": 64,
            "Protocol": "h1", "Tls": False, "RejectsOverload": True,
            "Standby": False}]
        for route in routes:
            whole["Routes"].append({
                "Kind": "unsafe", "TimeoutMs": 3000, "TargetRuntimeMs": 1000,
                "Priority": 0, "Service": self.service, "MaxAttempts": 4,
                "Stretch": 2.0, **route})
        self.store.put("op/config", json.dumps(whole))

    async def start_instance(self, name):
        ports = [free_port() for _ in range(3)]
        fields = {
            "Node": name, "Zone": "zone-a", "Ip": HOST,
            "Listen": {"Front": f"{HOST}:{ports[0]}",
                       "Ready": f"{HOST}:{ports[1]}"},
            "PortRange": [ports[2], ports[2]],
            "platform": {"Address": f"{HOST}:{self.store_port}"},
            "Limits": {"CpuShare": 0.25, "MemoryMb": 260},
            "Bounds": self.bounds}
        path = self.folder / f"{name}.toml"
        path.write_text(render(TEMPLATE.read_text(), fields))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["CHIVECRANK_BOOT"] = str(path)
        process = Process([INSTANCE], self.folder / f"{name}.log", env)
        process.name, process.port, process.ready_port = (
            name, ports[0], ports[1])
        process.metrics_port = ports[2]
        await process.start()
        self.instances.append(process)
        return process

    async def start_worker(self, name, cpu=16000, rack="r1", service=None,
                           more=()):
        """Starts the worker, or a new life of one that has ended, and waits
        until it is up."""
        process = self.workers.get(name)
        if process is None:
            process = Process(
                [sys.executable, "-B", HERE / "worker.py", "--id", name,
                 "--port", free_port(), "--register-port", self.register_port,
                 "--service", service or self.service, "--cpu", cpu,
                 "--rack", rack, "--hold-max-ms", self.bounds["HoldMaxMs"],
                 *more],
                self.folder / f"worker-{name}.log")
            process.name = name
            self.workers[name] = process
        lives = process.lives()
        await process.start()
        while process.lives() == lives:
            if process.child.returncode is not None:
                raise RuntimeError(f"the worker {name} didn't start")
            await asyncio.sleep(0.005)
        return process

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        for instance in self.instances:
            while True:
                status, _ = await httpd.call(HOST, instance.ready_port, "GET",
                                             "/-/readiness", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError("the instances were not ready in time")
                await asyncio.sleep(0.1)

    def workers_log(self, name=None):
        """What the workers did, in the order of time."""
        lines = []
        for path in sorted(self.folder.glob(f"worker-{name or '*'}.log")):
            for line in path.read_text().splitlines():
                if line.startswith("{"):
                    lines.append(json.loads(line))
        return sorted(lines, key=lambda line: line["ms"])

    def instance_log(self, *events):
        lines = []
        for instance in self.instances:
            for line in instance.log.read_text().splitlines():
                if not line.startswith("{"):
                    continue
                entry = json.loads(line)
                if not events or entry.get("event") in events:
                    lines.append(entry)
        return sorted(lines, key=lambda line: line["time_ms"])

    async def owner(self):
        """The instance that owns the one shard."""
        for _ in range(100):
            for key, item in self.store.items.items():
                if "/owners/" in key:
                    node = base64.b64decode(item["Value"]).decode()
                    for instance in self.instances:
                        if node.startswith(instance.name + "@"):
                            return instance
            await asyncio.sleep(0.1)
        raise RuntimeError("no instance owns the shard")

    async def client(self, instance, method, path, body=None, timeout=3.0,
                     host="a.example"):
        """A client's request, noted in the record."""
        self.note("client_sends", method=method, path=path,
                  to=instance.name, body=body)
        status, answer = await httpd.call(
            HOST, instance.port, method, path, body,
            {"Host": host, "Timeout-Ms": str(int(timeout * 1000))}, timeout)
        self.note("client_gets", method=method, path=path, status=status,
                  body=answer)
        return status, answer

    async def close(self):
        for process in list(self.workers.values()) + self.instances:
            if process.child and process.child.returncode is None:
                process.child.send_signal(signal.SIGCONT)
            await process.kill()
        for server in getattr(self, "servers", []):
            server.close()


def run_case(folder, play, bounds):
    """Plays the case and exits with 1 if the rule was broken, 0 if it held and
    2 if the case couldn't run. `play(deployment, trouble)` returns the
    sentences that say how the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = COULD_NOT_RUN

    async def whole():
        nonlocal code
        deployment = Deployment(bounds)
        try:
            broken = await asyncio.wait_for(play(deployment, trouble), 110)
            code = 1 if broken else 0
        except Exception as failure:  # The case couldn't run.
            broken = [f"could not run: {failure!r}"]
            deployment.note("could_not_run", why=repr(failure))
        finally:
            await deployment.close()
            lines = deployment.record + deployment.workers_log()
            lines.sort(key=lambda line: line["ms"])
            with open(Path(folder) / "record.txt", "w") as out:
                out.write(f"TROUBLE={int(trouble)} exit code {code}\n")
                for sentence in broken:
                    out.write(f"BROKEN: {sentence}\n")
                for line in lines:
                    line["ms"] -= int(deployment.began * 1000)
                    out.write(json.dumps(line) + "\n")
            for sentence in broken[:5]:
                print(sentence)
            if os.environ.get("KEEP"):
                print("kept", deployment.folder)
            else:
                shutil.rmtree(deployment.folder, ignore_errors=True)

    asyncio.run(whole())
    print(f"exit code {code}")
    sys.exit(code)
