"""A runner loses power as a start of a task that lasts comes to it, and is back under another id after
4.5 s. Meanwhile the entry that owns the log is killed."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
import deployment  # noqa: E402

# The entry of the runner, silent for three heartbeats, has gone by then.
AFTER_S = 3.6
RESTART_S = 1.0
# LOST: "from 6 s after its last run" and "if the 3 s and the 4 s before them are calm".
WITHOUT_RUN_S = 6 + 3
CALM_S = 4 + 3


async def case(world):
    id = world.new_id()
    task = f"{id}.0.0.0"
    dark, ends = [], []
    world.watchers.append(lambda what, runner, run, how: what == "ended" and run.task == task
                          and ends.append(time.monotonic()))
    # In both modes: the first run fails, as such tasks may at any time.
    world.fates.append(lambda runner, run: "failed" if run.task == task and not ends
                       and time.monotonic() >= run.began + 2 else None)

    def trouble(runner, start):
        if world.trouble and start["task"] == task and start["run_id"] == 2 and not dark:
            dark.append(time.monotonic())
            return "dark"
        return None

    world.trouble_of = trouble
    steps = [{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 500, "long_running": True}]
    await world.submit(steps, {"ms": 500, "lasts": True, "cpu": 2000}, id=id)
    end = time.monotonic() + 15
    while not ends or (world.trouble and not dark):
        if time.monotonic() > end:
            raise deployment.Broken("the task does not start twice")
        await asyncio.sleep(0.02)
    ended = ends[0]
    calm = ended
    if world.trouble:
        await asyncio.sleep(AFTER_S - (time.monotonic() - dark[0]))
        owner = await world.leader()
        if owner is None:
            raise deployment.Broken("no entry owns the log")
        owner.kill()
        await asyncio.sleep(RESTART_S)
        owner.spawn()
        calm = dark[0] + 5.5
    longest = 0.0
    while time.monotonic() < ended + 40:
        await asyncio.sleep(0.05)
        if world.active(task):
            break
        longest = time.monotonic() - ended
    quiet = ended + longest - calm
    world.record("watched", without_run_s=longest, calm_s=quiet, shown=await world.state(id))
    if longest > WITHOUT_RUN_S and quiet > CALM_S:
        return [f"task {task} that lasts had no run for {longest:.1f} s, of which the last {quiet:.1f} s "
                f"were calm, with all runners empty"]
    return []


deployment.main(case, FOLDER, machines=8)
