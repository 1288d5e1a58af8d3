"""Three times the runner crashes that runs a submission's only task: one runner of ten, each time after the
one before is back. The task itself never fails."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
import deployment  # noqa: E402

CRASHES = 3
# One runner of ten is down at a time: a share of 0.1.
MACHINES = 10
DOWN_S = 4.5
# From the start of a run to the crash of its runner, and the work of the task.
AGE_S = 3.0
WORK_S = 10.0


async def wait_for_run(world, task, seconds):
    """Returns the runner on which the task has been running for `AGE_S`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for runner, run in world.active(task):
            if time.monotonic() >= run.began + AGE_S:
                return runner
        await asyncio.sleep(0.05)
    return None


async def case(world):
    failed = []
    world.watchers.append(lambda what, runner, run, how: how == "failed" and failed.append(run.task))
    steps = [{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": int(WORK_S * 1000)}]
    id = await world.submit(steps, {"ms": int(WORK_S * 1000), "cpu": 2000})
    task = f"{id}.0.0.0"
    if await wait_for_run(world, task, 15) is None:
        raise deployment.Broken("the task does not start")
    for number in range(CRASHES if world.trouble else 0):
        runner = await wait_for_run(world, task, 20)
        if runner is None:
            break
        world.record("crash", number=number + 1, runner=runner.id)
        runner.machine.crash(DOWN_S)
        await asyncio.sleep(DOWN_S + 0.5)
    end = time.monotonic() + 25
    shown = None
    while time.monotonic() < end and shown not in ("complete", "failed", "cancelled", "410"):
        await asyncio.sleep(1)
        shown = await world.state(id)
    world.record("at the end", shown=shown, ends_failed=len(failed))
    if failed:
        raise deployment.Broken("a run has failed")
    if shown in ("failed", "cancelled", "410"):
        return [f"submission {id} is shown as {shown!r}: nobody cancelled it, and none of its runs ended "
                f"'failed' (max_attempts is 3)"]
    if shown != "complete":
        raise deployment.Broken("the submission does not end")
    return []


deployment.main(case, FOLDER, machines=MACHINES)
