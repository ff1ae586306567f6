"""A worker fails what it starts for a few seconds. Afterwards it is the only
one with room for a service."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "standins"))
import deployment as standins  # noqa: E402

BOUNDS = {"HoldMaxMs": 6000}
WORKERS = 8
CPU = 16000
# Beside a task of the first service one of the second has no room; the free
# worker has room for two. The first service takes 46% of the whole.
SERVICE_TASKS = 7
SERVICE_CPU = 8500
LATER_CPU = 8000
GREY_FOR_S = 3.0
FINISH_S = 14
CALM_S = 3
WARM_UP = "/q/00000000000000a{}"
SERVICE = "/watch/00000000000000b1"
FAILING = "/q/00000000000000c{}"
LATER = "/watch/00000000000000d1"


def find_broken(deployment, shown):
    starts = [l for l in deployment.workers_log()
              if l["event"] == "start" and LATER[-16:] in l["task"]]
    sent = next(l["ms"] for l in deployment.record
                if l["event"] == "client_gets" and l["path"] == LATER)
    waited = deployment.record[-1]["ms"] - sent
    in_use = SERVICE_TASKS * SERVICE_CPU
    deployment.note("result", shown=shown, starts=len(starts), in_use=in_use,
                    room_for=CPU // LATER_CPU, capacity=WORKERS * CPU,
                    waits_for_ms=waited)
    if starts or waited <= CALM_S * 1000:
        return []
    return [f"LOST: {LATER} is shown as {shown} and has never run in {waited} ms;"
            f" a sound worker has room for {CPU // LATER_CPU} of its task, and "
            f"{in_use} of {WORKERS * CPU} millicores are in use"]


async def play(deployment, trouble):
    await deployment.start_store()
    deployment.write_config([
        {"Name": "q", "Host": "a.example", "Prefix": "/q/", "MaxAttempts": 1},
        {"Name": "watch", "Host": "a.example", "Prefix": "/watch/"}])
    for i in range(WORKERS):
        await deployment.start_worker(f"i-{i}", CPU)
    for i in range(3):
        await deployment.start_instance(f"front-{i}")
    await deployment.wait_ready()
    await deployment.owner()
    front = deployment.instances[0]
    await asyncio.sleep(3)
    for i in range(2):
        await deployment.client(front, "POST", WARM_UP.format(i), {
            "Spec": f"ms=300 cpu={CPU}", "Steps": [
                {"Count": WORKERS, "Cpu": CPU, "MemMb": 100,
                 "EstimateMs": 300}]})
        await asyncio.sleep(3)
    await deployment.client(front, "POST", SERVICE, {
        "Spec": f"lasts cpu={SERVICE_CPU}", "Steps": [
            {"Count": SERVICE_TASKS, "Cpu": SERVICE_CPU, "MemMb": 100,
             "EstimateMs": 500, "Persistent": True}]})
    await asyncio.sleep(4)
    # Only the free worker has room for these; it fails them while it is grey.
    if trouble:
        deployment.note("worker_is_grey", for_s=GREY_FOR_S)
    for i in range(2):
        spec = f"ms=300 cpu={LATER_CPU}" + (" fail=1" if trouble else "")
        await deployment.client(front, "POST", FAILING.format(i), {
            "Spec": spec, "Steps": [
                {"Count": 1, "Cpu": LATER_CPU, "MemMb": 100,
                 "EstimateMs": 300}]})
        await asyncio.sleep(GREY_FOR_S / 2)
    deployment.note("worker_is_sound_again")
    await asyncio.sleep(3)
    await deployment.client(front, "POST", LATER, {
        "Spec": f"lasts cpu={LATER_CPU}", "Steps": [
            {"Count": 1, "Cpu": LATER_CPU, "MemMb": 100, "EstimateMs": 500,
             "Persistent": True}]})
    # That was the last request of the traffic.
    await asyncio.sleep(FINISH_S + CALM_S)
    _, answer = await deployment.client(front, "GET", LATER)
    return find_broken(deployment, (answer or {}).get("State", "no answer"))


standins.run_case(FOLDER, play, BOUNDS)
