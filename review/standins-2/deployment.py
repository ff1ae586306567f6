"""A small deployment on loopback: the store, workers, and the program that the
deploy file runs, each in a process of its own, with a record of what happened.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import http11  # noqa: E402
import store as store_standin  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENV_KEPT = ("PATH", "HOME", "JAVA_HOME", "LANG")
HOST = "queue.example"
PREFIX = "/desk1/"
SERVICE = "desk"

# The bounds of the site that the claims name.
BOUNDS = {"HoldMaxMs": 10000, "ContactMs": 3000, "cancel_ms": 3000, "StopMs": 400,
          "visible_ms": 3000}


def render(template, values):
    """The constructs of the platform's templates that the project uses."""

    def lookup(scope, name):
        if name == ".":
            return scope
        for part in name.split("."):
            if isinstance(scope, dict):
                scope = scope.get(part)
            elif isinstance(scope, list) and part.isdigit():
                scope = scope[int(part)]
            else:
                return None
        return scope

    def section(match):
        found = lookup(values, match.group(1))
        return render(match.group(2), found) if found is not None else ""

    def placeholder(match):
        name, _, form = match.group(1).partition("|")
        found = lookup(values, name)
        return json.dumps(found) if form == "json" else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, text)


def deployed_role():
    """What the deploy file says of the program: `run` and `template`."""
    text = (ROOT / "deploy/system.toml").read_text()
    text = text[text.index("[roles.instance]"):]
    return {name: re.search(rf'^{name} = "(.*)"$', text, re.M).group(1)
            for name in ("run", "template")}


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.begun:8.3f} {text}\n")
        self.file.flush()


class WorkerProcess:
    def __init__(self, deployment, name, index):
        self.deployment = deployment
        self.name = name
        self.host = f"127.0.21.{index + 1}"
        self.port = http11.free_port(self.host)
        self.zone = f"zone-{'abcd'[index % 4]}"
        self.rack = f"r{index // 4}"
        self.process = None
        self.processes = []
        self.events = []

    async def start(self):
        settings = {"cpu": self.deployment.worker_cpu, "service": SERVICE,
                    "zone": self.zone, "rack": self.rack, "heartbeat_ms": 1100,
                    "hold_max_ms": BOUNDS["HoldMaxMs"]}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(pathlib.Path(__file__).parent / "worker.py"),
            self.name, f"{self.host}:{self.port}",
            "%s:%d" % self.deployment.store_address, json.dumps(settings),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            stderr=self.deployment.logs)
        self.processes.append(self.process)
        asyncio.ensure_future(self.listen(self.process.stdout))

    async def listen(self, output):
        while line := await output.readline():
            event = json.loads(line)
            self.events.append(event)
            self.deployment.on_worker_event(event)

    def say(self, word):
        self.process.stdin.write(word.encode() + b"\n")

    def signal(self, number):
        self.deployment.record.write(
            f"worker {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def runs_are_over(self):
        """What ran on it is lost with its process."""
        self.deployment.killed_at[self.name] = time.monotonic()
        self.deployment.runs_end_with(self.name)

    async def kill(self):
        self.signal(signal.SIGKILL)
        self.runs_are_over()
        await self.process.wait()


class Instance:
    def __init__(self, deployment, name, index):
        self.deployment = deployment
        self.name = name
        self.host = f"127.0.20.{index + 1}"
        self.zone = f"zone-{'abcd'[index % 4]}"
        self.front, self.ready, self.metrics = (http11.free_port(self.host)
                                                for _ in range(3))
        self.process = None
        self.log_path = deployment.folder / f"{name}.log"

    async def start(self):
        role = deployed_role()
        values = {"Node": self.name, "Ip": self.host, "Zone": self.zone,
                  "Listen": {"Front": f"{self.host}:{self.front}",
                             "Ready": f"{self.host}:{self.ready}"},
                  "PortRange": [self.metrics, self.metrics + 15],
                  "platform": {"Address": "%s:%d" % self.deployment.store_address},
                  "Limits": {"CpuShare": 0.25, "MemoryMb": 260}, "Bounds": BOUNDS}
        settings = self.deployment.folder / f"{self.name}.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), values))
        environment = {name: os.environ[name] for name in ENV_KEPT if name in os.environ}
        environment["CHIVECRANK_BOOT"] = str(settings)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def is_ready(self):
        try:
            code, _, _ = await http11.call(self.host, self.ready, "GET", "/-/readiness",
                                           timeout=1)
            return code == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.deployment.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def owns_shard(self):
        """By its log: the newest line on its ownership."""
        owns = False
        for line in self.log_path.read_bytes().splitlines():
            if b'"shard_won"' in line:
                owns = True
            elif b'"shard_lost"' in line:
                owns = False
        return owns


class Deployment:
    def __init__(self, folder, instances=3, workers=8, worker_cpu=8000, attempts=4):
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chivecrank-review-"))
        self.logs = open(self.folder / "standins.log", "ab")
        self.worker_cpu = worker_cpu
        self.attempts = attempts
        self.store = store_standin.Store()
        self.store_address = ("127.0.22.1", http11.free_port("127.0.22.1"))
        self.instances = [Instance(self, f"front-{i}", i) for i in range(instances)]
        self.workers = [WorkerProcess(self, f"w{i:02d}", i) for i in range(workers)]
        self.runs = []       # dict(task, run, worker, began, ended, how)
        self.killed_at = {}  # worker -> time of its last SIGKILL
        self.hooks = []

    async def __aenter__(self):
        await self.store.start(*self.store_address)
        manifest = {"Version": 7, "Routes": [{
            "Name": "q1", "Host": HOST, "Prefix": PREFIX, "Kind": "unsafe",
            "TimeoutMs": 3000, "TargetRuntimeMs": 1000, "Priority": 0,
            "Service": SERVICE, "MaxAttempts": self.attempts, "Stretch": 2.0}],
            "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 64,
                          "Protocol": "h1", "Tls": False, "RejectsOverload": True,
                          "Standby": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        await self.store.apply([("op/config", json.dumps(manifest).encode(), 0)], [])
        await asyncio.gather(*(worker.start() for worker in self.workers))
        await asyncio.gather(*(instance.start() for instance in self.instances))
        await self.until(self.all_ready, 25, "all instances are ready")
        await self.until(lambda: self.owner() is not None, 10, "a shard owner")
        await self.until(lambda: all(any(e["event"] == "hold" for e in w.events)
                                     for w in self.workers), 10, "all workers polled")
        return self

    async def __aexit__(self, *unused):
        processes = [instance.process for instance in self.instances]
        for worker in self.workers:
            processes += worker.processes
        for process in processes:
            if process and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        self.logs.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def all_ready(self):
        return all(await asyncio.gather(*(i.is_ready() for i in self.instances)))

    def owner(self):
        return next((i for i in self.instances if i.owns_shard()), None)

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            holds = condition()
            if asyncio.iscoroutine(holds):
                holds = await holds
            if holds:
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"not within {seconds} s: {what}")

    def on_worker_event(self, event):
        kind = event["event"]
        if kind != "hold":
            shown = {key: value for key, value in event.items()
                     if key not in ("t", "worker", "event")}
            self.record.write(f"worker {event['worker']}: {kind} {json.dumps(shown)}",
                              event["t"])
        if kind == "began":
            self.runs.append({"task": event["task"], "run": event["run"],
                              "worker": event["worker"], "began": event["t"],
                              "ended": None, "how": None})
            if event["t"] < self.killed_at.get(event["worker"], 0):
                self.runs_end_with(event["worker"])
        if kind == "ended":
            for run in self.runs:
                if (run["task"], run["run"], run["worker"]) == (
                        event["task"], event["run"], event["worker"]):
                    run["ended"], run["how"] = event["t"], event["how"]
        for hook in self.hooks:
            hook(event)

    def runs_end_with(self, worker):
        for run in self.runs:
            if run["worker"] == worker and run["ended"] is None:
                run["ended"], run["how"] = self.killed_at[worker], "crashed"

    def runs_of(self, submission):
        return [run for run in self.runs if run["task"].startswith(submission)]

    async def request(self, instance, method, identifier="", body=None, timeout=3.0,
                      channel=None):
        """A client's request; returns (code, decoded body), or (None, None) after
        no answer within `timeout`."""
        headers = [("Host", HOST), ("Timeout-Ms", str(int(timeout * 1000)))]
        data = json.dumps(body).encode() if body is not None else b""
        own = channel or http11.Channel(instance.host, instance.front)
        self.record.write(f"client -> {instance.name}: {method} {PREFIX}{identifier}")
        try:
            async def exchange():
                await own.send(method, PREFIX + identifier, headers, data)
                return await own.receive()
            code, _, answer = await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError) as failure:
            own.close()
            self.record.write(f"client <- {instance.name}: no answer to {method} "
                              f"{identifier} ({type(failure).__name__})")
            return None, None
        if channel is None:
            own.close()
        self.record.write(f"client <- {instance.name}: {code} to {method} {identifier} "
                          f"{answer.decode()[:200]}")
        return code, json.loads(answer) if answer else None


class CannotRun(Exception):
    """The case could not be brought about."""


def spec(ms, cpu):
    return f"ms={ms} cpu={cpu}"


def step(count, cpu, ms, **more):
    return {"Count": count, "Cpu": cpu, "MemMb": 256, "EstimateMs": ms, **more}


def run_case(case, folder):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble, folder), 110))
    except (CannotRun, asyncio.TimeoutError) as failure:
        print("could not run:", failure or "over 110 s")
        sys.exit(2)
    print("rule broken:" if broken else "rule held", broken or "")
    sys.exit(1 if broken else 0)
