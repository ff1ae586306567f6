"""Stand-in worker, as PROTOCOL.md describes it; one process each.

Arguments: id, host:port, the store's host:port, settings as JSON. The run time
and the demand of a task come in its Spec ("ms=500 cpu=1000"). Events go to
standard output as JSON lines; "cut" and "heal" on standard input silence the
worker's network and end that.
"""

import asyncio
import json
import sys
import time

import http11

MEMORY_MB = 64000


class Worker:
    def __init__(self, name, address, store, settings):
        self.name = name
        self.address = address
        self.store = store
        self.settings = settings
        self.capacity = settings["cpu"]
        self.hold_max_ms = settings["hold_max_ms"]
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}   # task -> dict(run, begun, ms, cpu)
        self.ended = []     # rows of ends that are not forgotten
        self.next_end = 1
        self.highest = {}   # task -> highest run stopped or ended
        self.seq = 0
        self.cut = asyncio.Event()
        self.changed = asyncio.Condition()

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000)

    def tell(self, event, **fields):
        print(json.dumps({"t": time.monotonic(), "worker": self.name,
                          "event": event, **fields}), flush=True)

    async def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.tell("ended", task=task, run=run["run"], how=how)
        async with self.changed:
            self.changed.notify_all()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock_ms() >= self.deadline_ms:
                for task in list(self.running):
                    await self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if (now - run["begun"]) * 1000 >= run["ms"]:
                    await self.end(task, "done")

    def take_deadline(self, body):
        wanted = body.get("DeadlineMs")
        if wanted is None:
            return
        allowed = min(wanted, self.clock_ms() + self.hold_max_ms)
        if wanted > allowed:
            self.tell("lease_shortened", asked=wanted, taken=allowed,
                      clock=self.clock_ms())
        self.deadline_ms = max(self.deadline_ms, allowed)

    def report(self):
        now = time.monotonic()
        rows = []
        for task, run in self.running.items():
            done = min(99, int((now - run["begun"]) * 100_000 / run["ms"]))
            rows.append([task, run["run"], "", done, run["cpu"]])
        return rows

    def answer(self, code, **fields):
        return code, json.dumps({"ClockMs": self.clock_ms(), "born": self.born_ms,
                                 **fields}).encode()

    async def handle(self, request):
        if self.cut.is_set():
            raise http11.Silence()
        if request.method == "GET" and request.target == "/health":
            return 200, b"{}"
        if request.headers.get("expect-instance", self.name) != self.name:
            return self.answer(421)
        body = json.loads(request.body or b"{}")
        fence = body.get("FenceToken", 0)
        if fence < self.fence:
            return self.answer(409, Reason="fence")
        self.fence = fence
        answer = await self.obey(request.target, body)
        if self.cut.is_set():
            raise http11.Silence()
        return answer

    async def obey(self, path, body):
        if path == "/-/run-start":
            return await self.start(body)
        if path == "/-/run-stop":
            task, run = body["Task"], body["Run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run:
                await self.end(task, "stopped")
            return self.answer(200)
        if path == "/-/pace":
            return self.answer(200)
        if path == "/-/hold":
            return await self.hold(body)
        return self.answer(400)

    async def start(self, body):
        task, run = body["Task"], body["Run"]
        if task in self.running and self.running[task]["run"] == run:
            return self.answer(200)
        self.take_deadline(body)
        if run <= self.highest.get(task, 0) or task in self.running:
            return self.answer(409, Reason="old")
        if self.clock_ms() >= self.deadline_ms:
            return self.answer(409, Reason="late")
        wanted = dict(word.split("=") for word in body["Spec"].split())
        used = sum(other["cpu"] for other in self.running.values())
        if used + int(wanted["cpu"]) > self.capacity:
            return self.answer(409, Reason="room")
        self.running[task] = {"run": run, "begun": time.monotonic(),
                              "ms": int(wanted["ms"]), "cpu": int(wanted["cpu"])}
        self.tell("began", task=task, run=run, fence=self.fence)
        return self.answer(200)

    async def hold(self, body):
        self.take_deadline(body)
        seen = body.get("LastSeen", 0)
        for row in self.ended:
            if row[0] <= seen:
                self.tell("noted", task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        self.tell("hold", deadline=body.get("DeadlineMs"), fence=self.fence,
                  runs=len(self.running), clock=self.clock_ms(),
                  ends_at=self.deadline_ms)
        end = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ended and time.monotonic() < end:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
        return self.answer(200, Running=self.report(), Ended=self.ended[:500])

    def entry(self):
        host, port = self.address
        return {"Service": self.settings["service"], "Address": f"{host}:{port}",
                "Zone": self.settings["zone"], "Version": "1", "Slots": 8,
                "State": "ready", "ColdLeftMs": 0, "Seq": self.seq,
                "Machine": "m-" + self.name, "born": self.born_ms,
                "Capacity": {"Cpu": self.capacity, "MemMb": MEMORY_MB, "Gpu": 0},
                "Labels": ["a", self.settings["rack"]]}

    async def write_entries(self):
        while True:
            self.seq += 1
            if not self.cut.is_set():
                body = json.dumps({
                    "id": self.name, "entry": self.entry(),
                    "beat_s": self.settings["heartbeat_ms"] / 1000}).encode()
                try:
                    await http11.call(*self.store, "POST", "/standin/entry", (), body)
                except (OSError, asyncio.TimeoutError):
                    pass
            await asyncio.sleep(self.settings["heartbeat_ms"] / 1000)

    async def obey_script(self):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            word = line.decode().strip()
            self.tell(word)
            self.cut.set() if word == "cut" else self.cut.clear()

    async def main(self):
        await http11.serve(self.handle, *self.address)
        self.tell("up")
        await asyncio.gather(self.tick(), self.write_entries(), self.obey_script())


def endpoint(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


if __name__ == "__main__":
    asyncio.run(Worker(sys.argv[1], endpoint(sys.argv[2]), endpoint(sys.argv[3]),
                       json.loads(sys.argv[4])).main())
