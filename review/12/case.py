"""The channel is reset on which a start of a task that lasts was answered; soon after, the task fails, as
such tasks may at any time."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
import deployment  # noqa: E402

MODE = os.environ.get("MODE", "reset")
# LOST: "for 3 s ... That last holds for each task that lasts, from 6 s after its last run".
WITHOUT_RUN_S = 6 + 3
# From the start of the task to its failure.
AGE_S = 2.0
WATCHED_S = 30.0


async def case(world):
    lasting, done = [], set()

    def trouble(runner, start):
        if not world.trouble or start["task"] not in lasting or start["task"] in done:
            return None
        done.add(start["task"])
        return "reset" if MODE == "reset" else 3.0

    world.trouble_of = trouble
    ends = []
    world.watchers.append(lambda what, runner, run, how: what == "ended" and run.task in lasting
                          and ends.append((time.monotonic(), how)))
    world.fates.append(lambda runner, run: "failed" if run.task in lasting and not ends
                       and time.monotonic() >= run.began + AGE_S else None)
    # Other work, so that the channel of one start in many is reset.
    steps = [{"count": 24, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}]
    batch = asyncio.create_task(world.submit(steps, {"ms": 500, "cpu": 500}))
    steps = [{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 500, "long_running": True}]
    id = world.new_id()
    lasting.append(f"{id}.0.0.0")
    await world.submit(steps, {"ms": 500, "lasts": True, "cpu": 2000}, id=id)
    await batch
    task = f"{id}.0.0.0"
    end = time.monotonic() + 15
    while not ends:
        if time.monotonic() > end:
            raise deployment.Broken("the task does not start")
        await asyncio.sleep(0.05)
    began = ends[0][0]
    longest = 0.0
    while time.monotonic() < began + WATCHED_S and not world.active(task):
        await asyncio.sleep(0.05)
        longest = time.monotonic() - began
    world.record("watched", without_run_s=longest, shown=await world.state(id), starts=world.starts)
    if longest > WITHOUT_RUN_S:
        return [f"task {task} that lasts had no run for {longest:.1f} s after it failed, with capacity "
                f"for it many times over"]
    return []


deployment.main(case, FOLDER, machines=8)
