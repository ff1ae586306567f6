"""A service leaves one worker free. A task that only this worker has room for
fails once."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import deployment as standins  # noqa: E402

BOUNDS = {"HoldMaxMs": 6000}
WORKERS = 8
CPU = 16000
# Beside a task of the service a task of the batch has no room; the free worker
# has room for two. The service takes 46% of the whole.
SERVICE_TASKS = 7
SERVICE_CPU = 8500
BATCH_CPU = 8000
MAX_ATTEMPTS = 4
FINISH_S = 14
CALM_S = 3
WARM_UP = "/q/00000000000000a{}"
SERVICE = "/watch/00000000000000b1"
BATCH = "/q/00000000000000c1"


def find_broken(deployment, shown):
    log = [l for l in deployment.workers_log()
           if BATCH[-16:] in l.get("task", "")]
    ends = [l for l in log if l["event"] == "end"]
    starts = [l for l in log if l["event"] == "start" and not l["refused"]]
    in_use = SERVICE_TASKS * SERVICE_CPU
    waited = deployment.record[-1]["ms"] - ends[-1]["ms"] if ends else 0
    deployment.note("result", shown=shown, runs=len(starts),
                    room_for=CPU // BATCH_CPU, in_use=in_use,
                    capacity=WORKERS * CPU, nothing_runs_for_ms=waited)
    if shown in ("completed", "failed") or len(ends) < len(starts):
        return []
    if waited <= CALM_S * 1000:
        return []
    return [f"LOST: {BATCH} is shown as {shown} and has had nothing running for "
            f"{waited} ms after {len(starts)} of {MAX_ATTEMPTS} attempts; a "
            f"worker has room for {CPU // BATCH_CPU} of its task, and {in_use} "
            f"of {WORKERS * CPU} millicores are in use"]


async def play(deployment, trouble):
    await deployment.start_store()
    deployment.write_config([
        {"Name": "q", "Host": "a.example", "Prefix": "/q/",
         "MaxAttempts": MAX_ATTEMPTS},
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
    spec = f"ms=300 cpu={BATCH_CPU}" + (" fail=1" if trouble else "")
    await deployment.client(front, "POST", BATCH, {
        "Spec": spec, "Steps": [
            {"Count": 1, "Cpu": BATCH_CPU, "MemMb": 100, "EstimateMs": 300}]})
    # That was the last request of the traffic.
    await asyncio.sleep(FINISH_S + CALM_S)
    _, answer = await deployment.client(front, "GET", BATCH)
    return find_broken(deployment, (answer or {}).get("State", "no answer"))


standins.run_case(FOLDER, play, BOUNDS)
