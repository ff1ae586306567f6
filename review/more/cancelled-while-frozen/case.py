"""A client's POST reaches a machine that stands still. The client gets no
answer, cancels the submission at another machine, and is told that there is
none."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "standins"))
import deployment as standins  # noqa: E402

BOUNDS = {"HoldMaxMs": 6000}
WORKERS = 6
INSTANCES = 7
FREEZE_S = 3.5
TIMEOUT_S = 3.0
CANCEL_MS = 3000
STOP_MS = 400
ROUNDS = 3


def submission():
    return {"Spec": "ms=1200 cpu=1000", "Steps": [
        {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 1200},
        {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 1200,
         "After": [0]},
        {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 1200,
         "After": [1]},
        {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 1200,
         "After": [2]}]}


def now_ms(deployment):
    deployment.note("time")
    return deployment.record.pop()["ms"]


async def cancel(deployment, instance, path):
    """Repeats the DELETE until it is acknowledged; returns when that was."""
    while True:
        status, _ = await deployment.client(instance, "DELETE", path)
        if status in (200, 204, 410):
            return now_ms(deployment), status
        await asyncio.sleep(0.2)


async def one_round(deployment, number, trouble):
    owner = await deployment.owner()
    frozen, other = [i for i in deployment.instances if i is not owner][:2]
    path = f"/q/{0xc0ffee0000000000 + number:016x}"
    if trouble:
        deployment.note("machine_freezes", instance=frozen.name)
        frozen.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            FREEZE_S, lambda: (deployment.note("machine_wakes",
                                               instance=frozen.name),
                               frozen.signal(signal.SIGCONT)))
    status, _ = await deployment.client(frozen, "POST", path, submission(),
                                        TIMEOUT_S)
    acknowledged, cancel_status = await cancel(deployment, other, path)
    await asyncio.sleep(9)
    late = []
    runs = {}
    for line in deployment.workers_log():
        if path[-16:] not in line.get("task", ""):
            continue
        after = line["ms"] - acknowledged
        key = (line["task"], line["run"])
        if line["event"] == "start" and not line["refused"]:
            runs[key] = line
            if after > CANCEL_MS:
                late.append(f"UNASKED: {line['task']} was started {after} ms "
                            f"after the cancelling of its submission was "
                            f"acknowledged with {cancel_status}")
        if line["event"] == "end" and after > CANCEL_MS + STOP_MS:
            late.append(f"UNASKED: {line['task']} ran on until {after} ms "
                        f"after the cancelling was acknowledged with "
                        f"{cancel_status}")
    _, shown = await deployment.client(other, "GET", path)
    deployment.note("round", post=status, cancel=cancel_status, shown=shown,
                    broken=len(late))
    return late


async def play(deployment, trouble):
    await deployment.start_store()
    deployment.write_config([{"Name": "q", "Host": "a.example",
                              "Prefix": "/q/"}])
    for i in range(WORKERS):
        await deployment.start_worker(f"i-{i}")
    for i in range(INSTANCES):
        await deployment.start_instance(f"front-{i}")
    await deployment.wait_ready()
    await deployment.owner()
    await asyncio.sleep(4)
    broken = []
    for number in range(ROUNDS):
        broken += await one_round(deployment, number, trouble)
    return broken


standins.run_case(FOLDER, play, BOUNDS)
