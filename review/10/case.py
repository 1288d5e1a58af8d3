"""A task that lasts ends `done`, and is to be started again as it would be after any other end."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
import deployment  # noqa: E402

# LOST: "for 3 s ... That last holds for each task that lasts, from 6 s after its last run".
WITHOUT_RUN_S = 6 + 3
# Far beyond that bound.
WATCHED_S = 25.0


async def case(world):
    ends = {}
    ordered = {}

    def rule(runner, run):
        """Ends the runs that were chosen, once."""
        return ordered.pop((run.task, run.number), None)

    def watch(what, runner, run, how):
        if what == "ended":
            ends.setdefault(run.task, []).append((time.monotonic(), how))

    world.fates.append(rule)
    world.watchers.append(watch)
    steps = [{"count": 2, "cpu": 2000, "mem_mb": 512, "estimate_ms": 500, "long_running": True}]
    id = await world.submit(steps, {"ms": 500, "lasts": True, "cpu": 2000})
    tasks = [f"{id}.0.0.{index}" for index in range(2)]
    end = time.monotonic() + 10
    while not all(world.active(task) for task in tasks):
        if time.monotonic() > end:
            raise deployment.Broken("the tasks do not start")
        await asyncio.sleep(0.1)
    await asyncio.sleep(4)
    # In both modes: one that fails is started again.
    ordered[tasks[1], world.active(tasks[1])[0][1].number] = "failed"
    if world.trouble:
        ordered[tasks[0], world.active(tasks[0])[0][1].number] = "done"
    began = time.monotonic()
    without = {task: 0.0 for task in tasks}
    longest = dict(without)
    last = began
    while time.monotonic() < began + WATCHED_S:
        await asyncio.sleep(0.05)
        now = time.monotonic()
        for task in tasks:
            without[task] = 0.0 if world.active(task) else without[task] + now - last
            longest[task] = max(longest[task], without[task])
        last = now
    shown = await world.state(id)
    world.record("watched", longest_without_run_s=longest, shown=shown)
    return [f"task {task} that lasts, not cancelled, had no run for {seconds:.1f} s after it ended "
            f"{ends[task][-1][1]!r}, with all but one of the runners empty; shown as {shown!r}"
            for task, seconds in longest.items() if seconds > WITHOUT_RUN_S]


deployment.main(case, FOLDER, machines=6)
