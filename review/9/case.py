"""A queue's count of waiting submissions falls back to an old one and stays."""

import asyncio
import base64
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import deployment  # noqa: E402

WORKERS = 8
WORKER_CPU = 8000
LATE_S = 5.8
WAITING = 20
WATCHED_S = 14.0
LONG_MS = 60000
STATUS_KEY = "/load/"


class LostWrite:
    """The store does one write, gives no answer, and does it again late; the
    write is one that only the owner's condition guards."""

    def __init__(self, system):
        self.system = system
        self.armed = False
        self.lost_at = None

    def __call__(self, body):
        keys = [row["Key"] for row in body.get("Puts", [])]
        if not self.armed or self.lost_at or not any(STATUS_KEY in key for key in keys):
            return None
        if len(body.get("Precondition", [])) != 1:
            return None
        self.lost_at = time.monotonic()
        status = next(row["Value"] for row in body["Puts"] if STATUS_KEY in row["Key"])
        self.system.record.write(f"store: no answer to a write of {keys}, done "
                                 f"{LATE_S} s later: {base64.b64decode(status)[:400]}")
        return LATE_S


async def case(trouble, folder):
    async with deployment.Deployment(folder, workers=WORKERS,
                                     worker_cpu=WORKER_CPU) as system:
        lost = LostWrite(system)
        system.store.delay_transaction = lost
        client = system.instances[0]
        # Long work fills the workers; then the owner writes its load.
        lost.armed = trouble
        for i in range(WORKERS):
            await system.request(client, "POST", f"0000000000000f{i:02d}", {
                "Spec": deployment.spec(LONG_MS, WORKER_CPU),
                "Steps": [deployment.step(1, WORKER_CPU, LONG_MS)]})
        await system.until(lambda: len(system.runs) == WORKERS, 10, "the workers are full")
        if trouble:
            await system.until(lambda: lost.lost_at, 10, "a write of the load is lost")
        else:
            await asyncio.sleep(1)
        for i in range(WAITING):
            code, _ = await system.request(client, "POST", f"00000000000d{i:04d}", {
                "Spec": deployment.spec(1000, WORKER_CPU),
                "Steps": [deployment.step(1, WORKER_CPU, 1000)]})
            if code != 200:
                raise deployment.CannotRun("a submission was not accepted")
        accepted = time.monotonic()
        # The rule's bound; and after the late write, ContactMs more.
        bound = deployment.BOUNDS["visible_ms"] / 1000 + 2
        judged_from = accepted + bound
        if trouble:
            calm_from = lost.lost_at + LATE_S + deployment.BOUNDS["ContactMs"] / 1000
            judged_from = max(judged_from, calm_from)
        broken = None
        while time.monotonic() < accepted + WATCHED_S:
            await asyncio.sleep(0.5)
            asked = time.monotonic()
            for instance in system.instances:
                _, answer = await system.request(instance, "GET")
                begun = sum(run["task"].startswith("00000000000d") for run in system.runs)
                waiting = WAITING - begun
                if asked < judged_from or answer is None or waiting < WAITING:
                    continue
                if answer["Waiting"] < waiting / 2:
                    broken = (f"{instance.name} gives {answer['Waiting']} as Waiting, "
                              f"{waiting} submissions have waited for over {bound} s")
        return broken


deployment.run_case(case, FOLDER)
