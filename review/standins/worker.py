"""Stand-in for one worker, as PROTOCOL.md describes it: one process is one
life. What it did goes to standard output, one JSON object a line.

The Spec of a submission says what its tasks do, since a start names no more:
"ms=40" a task that is done after that time, "lasts" one that goes on, and
"cpu=16000" what it takes up here, "fail=1" that its first run fails at once.
"""

import argparse
import asyncio
import json
import sys
import time

import httpd

STOP_S = 0.2
TICK_S = 0.01
MOST_ENDS = 500


class Worker:
    def __init__(self, options):
        self.id = options.id
        self.capacity = options.cpu
        self.most_lease_ms = options.hold_max_ms
        self.begun = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = options.fence
        self.lease_ms = 0
        self.runs = {}
        self.barred = {}
        self.ended = []
        self.last_end = 0
        self.end_came = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.begun) * 1000)

    def write(self, event, **fields):
        line = {"ms": int(time.time() * 1000), "event": event,
                "worker": self.id, "born": self.born, **fields}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    def extend_lease(self, body):
        if "DeadlineMs" in body:
            most = self.clock_ms() + self.most_lease_ms
            self.lease_ms = max(self.lease_ms, min(body["DeadlineMs"], most))

    def end(self, task, how):
        run = self.runs.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.write("end", number=self.last_end, task=task, run=run["run"],
                   how=how)
        self.end_came.set()
        self.end_came = asyncio.Event()

    async def tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self.clock_ms() >= self.lease_ms
            for task, run in list(self.runs.items()):
                if lapsed:
                    self.end(task, "lapsed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["fails"]:
                    self.end(task, "failed")
                elif run["done_at"] and now >= run["done_at"]:
                    self.end(task, "done")

    def refusal(self, reason):
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    async def handle(self, request):
        if request.path == "/health":
            return 200, {}
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock_ms()}
        body = request.json()
        if body.get("FenceToken", 0) < self.fence:
            self.write("refused", call=request.path,
                       fence=body.get("FenceToken", 0), follows=self.fence)
            return self.refusal("fence")
        self.fence = body.get("FenceToken", 0)
        if request.path == "/-/run-start":
            return self.start(body)
        if request.path == "/-/run-stop":
            return self.stop(body)
        if request.path == "/-/hold":
            return await self.hold(body)
        if request.path == "/-/pace":
            return 200, {"ClockMs": self.clock_ms()}
        return 404, {}

    def start(self, body):
        task, number = body["Task"], body["Run"]
        known = self.runs.get(task)
        if known and known["run"] == number:
            return 200, {"ClockMs": self.clock_ms()}
        self.extend_lease(body)
        words = dict((w + "=").split("=")[:2] for w in body["Spec"].split())
        cpu = int(words.get("cpu", 0))
        reason = None
        if self.barred.get(task, 0) >= number or known:
            reason = "old"
        elif self.lease_ms <= self.clock_ms():
            reason = "late"
        elif sum(r["cpu"] for r in self.runs.values()) + cpu > self.capacity:
            reason = "room"
        self.write("start", task=task, run=number, refused=reason,
                   lease_ms=self.lease_ms - self.clock_ms(), spec=body["Spec"])
        if reason:
            return self.refusal(reason)
        done_at = None
        if "ms" in words:
            done_at = time.monotonic() + int(words["ms"]) / 1000
        self.runs[task] = {"run": number, "cpu": cpu, "done_at": done_at,
                           "fails": number <= int(words.get("fail", 0)),
                           "stop_at": None}
        return 200, {"ClockMs": self.clock_ms()}

    def stop(self, body):
        task, number = body["Task"], body["Run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get(task)
        if run and run["run"] <= number and not run["stop_at"]:
            run["stop_at"] = time.monotonic() + STOP_S
        self.write("stop", task=task, run=number)
        return 200, {"ClockMs": self.clock_ms()}

    async def hold(self, body):
        self.extend_lease(body)
        seen = body.get("LastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.write("forgotten", number=end[0], task=end[1],
                           run=end[2], how=end[3], last_seen=seen)
        self.ended = [e for e in self.ended if e[0] > seen]
        wait = body.get("WaitMs", 0) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.end_came.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[t, r["run"], "", 50 if r["done_at"] else 100, 0]
                   for t, r in self.runs.items()]
        return 200, {"ClockMs": self.clock_ms(), "born": self.born,
                     "Running": running, "Ended": self.ended[:MOST_ENDS]}

    def entry(self, options, seq):
        return {"Service": options.service, "Zone": options.zone,
                "Address": f"{options.host}:{options.port}",
                "Version": "v1", "Slots": 8, "State": "ready",
                "ColdLeftMs": 0, "ClockMs": self.clock_ms(), "Seq": seq,
                "Capacity": {"Cpu": self.capacity, "MemMb": 64000, "Gpu": 0},
                "Labels": ["a", options.rack], "born": self.born}

    async def register(self, options):
        """Writes the worker's entry into the store."""
        seq = 0
        while True:
            seq += 1
            await httpd.call(options.host, options.register_port, "PUT",
                             f"/servers/{self.id}", self.entry(options, seq))
            await asyncio.sleep(options.heartbeat_ms / 1000)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--register-port", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--rack", default="r1")
    parser.add_argument("--cpu", type=int, default=16000)
    parser.add_argument("--hold-max-ms", type=int, required=True)
    parser.add_argument("--heartbeat-ms", type=int, default=1100)
    parser.add_argument("--fence", type=int, default=0,
                        help="the token that its owner gave it before")
    options = parser.parse_args()
    worker = Worker(options)
    server = await httpd.serve(options.host, options.port, worker.handle)
    worker.write("up")
    async with server:
        await asyncio.gather(worker.tick(), worker.register(options))


if __name__ == "__main__":
    asyncio.run(main())
