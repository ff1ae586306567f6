"""A submission runs on after its cancelling was acknowledged."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import deployment  # noqa: E402
import http11  # noqa: E402

SUBMISSION = "00000000000000b1"
EARLIER = "00000000000000b0"
FIRST_STEP_MS = 6000
SECOND_STEP_MS = 6000
FREEZE_S = 4.0
TIMEOUT_S = 3.0
WATCHED_S = 16.0


async def case(trouble, folder):
    async with deployment.Deployment(folder) as system:
        owner = system.owner()
        frozen, other = [i for i in system.instances if i is not owner][:2]
        system.record.write(f"the shard's owner: {owner.name}")
        # The client's channel to its daemon is open: it has served a request.
        channel = http11.Channel(frozen.host, frozen.front)
        await system.request(frozen, "GET", EARLIER, channel=channel)
        if trouble:
            frozen.signal(signal.SIGSTOP)
        frozen_at = time.monotonic()
        code, _ = await system.request(
            frozen, "POST", SUBMISSION,
            {"Spec": deployment.spec(FIRST_STEP_MS, 2000),
             "Steps": [deployment.step(2, 2000, FIRST_STEP_MS),
                       deployment.step(2, 2000, SECOND_STEP_MS, After=[0])]},
            timeout=TIMEOUT_S, channel=channel)
        # The client gives up and withdraws the submission through another daemon.
        acked = None
        while acked is None:
            answer, _ = await system.request(other, "DELETE", SUBMISSION)
            if answer == 410 or (answer is not None and 200 <= answer < 300):
                acked = time.monotonic()
            else:
                await asyncio.sleep(0.3)
        if trouble:
            await asyncio.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
            frozen.signal(signal.SIGCONT)
        calm_from = time.monotonic()
        await asyncio.sleep(WATCHED_S)
        for instance in system.instances:
            await system.request(instance, "GET", SUBMISSION)
        runs = system.runs_of(SUBMISSION)
        starts_until = acked + deployment.BOUNDS["cancel_ms"] / 1000
        calm_from += deployment.BOUNDS["ContactMs"] / 1000
        late = [run for run in runs
                if run["began"] > max(starts_until, calm_from)]
        for run in runs:
            system.record.write(
                f"run {run['task']} {run['run']} on {run['worker']}: began "
                f"{run['began'] - acked:.3f} s after the cancelling was acknowledged")
        if code is not None and code != 200:
            raise deployment.CannotRun(f"the submission was answered {code}")
        if late:
            return (f"{len(late)} tasks began over cancel_ms after the cancelling was "
                    "acknowledged, over ContactMs after the freeze")
        return None


deployment.run_case(case, FOLDER)
