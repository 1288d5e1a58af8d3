"""Runners that were cut off have more than 500 ends each to tell."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import Runner, World, main, now  # noqa: E402

RUNNERS = 10
TASKS = 3000
# Of the runners, at most: twice the dose of the site file.
CUT_SHARE = 0.34
# From the submission to the first and to the last end; tasks end in steps between.
FIRST_END_S = 14.0
LAST_END_S = 16.0
CUT_S = 3.4


async def case(trouble):
    world = World(HERE)
    try:
        return await play(world, trouble)
    finally:
        await world.end()


async def play(world, trouble):
    await world.begin()
    record = world.record
    record.say(f"trouble: {trouble}")
    began = []

    def length(spec, task):
        share = int(task.rsplit(".", 1)[1]) % 40 / 40
        end = began[0] + FIRST_END_S + (LAST_END_S - FIRST_END_S) * share
        return max(0.0, end - now())

    capacity = {"cpu": 64000, "mem_mb": 250000, "gpu": 0}
    for number in range(RUNNERS):
        runner = Runner(record, world.store, number, "huvo11a", "atl-dock", capacity,
                        length, labels=("a", f"r1-{number}"))
        world.runners.append(await runner.listen())
    await world.ready()
    path = "/pufi791/5c0e7a21d94b36f8"
    body = {"spec": "reconcile", "steps": [
        {"count": TASKS, "cpu": 60, "mem_mb": 80, "estimate_ms": int(FIRST_END_S * 1000)}]}
    began.append(now())
    if await world.client.submit(path, body) is not True:
        raise RuntimeError("the submission was not accepted")
    limit = now() + 12
    while sum(len(r.starts) for r in world.runners) < TASKS and now() < limit:
        await asyncio.sleep(0.02)
    for runner in world.runners:
        if runner.starts:
            span = [start["at"] for start in runner.starts]
            record.say(f"{runner.id}: {len(span)} starts from {min(span):.2f} to {max(span):.2f}")
    await asyncio.sleep(max(0.0, began[0] + FIRST_END_S - 0.1 - now()))
    if trouble:
        chosen = sorted(world.runners, key=lambda runner: -len(runner.active))
        chosen = [runner for runner in chosen[:int(RUNNERS * CUT_SHARE)] if len(runner.active) > 500]
        if not chosen:
            raise RuntimeError("no runner has over 500 runs at work")
        for runner in chosen:
            runner.set_cut(True)
        await asyncio.sleep(CUT_S)
        for runner in chosen:
            runner.set_cut(False)
            record.say(f"{runner.id} has {len(runner.finished)} ends to tell")
    else:
        await asyncio.sleep(CUT_S)
    limit = now() + 40
    state = None
    while now() < limit:
        status, answer = await world.client.ask("GET", path)
        if status == 200:
            state = answer["state"]
        if state not in ("queued", "running", None):
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(3)
    record.say(f"the submission shows as {state}")
    return judge(world, record)


def judge(world, record):
    """TWICE: a start after a run ended `done`, if that end is taken note of then or later, and
    the runner's lease did not lapse in between."""
    done = {}
    for runner in world.runners:
        for end in runner.ends:
            if end["how"] != "done" or end["noted"] is None:
                continue
            if any(end["at"] <= at <= end["noted"] for at in runner.lapses):
                continue
            first = done.get(end["task"])
            if first is None or end["at"] < first["at"]:
                done[end["task"]] = dict(end, runner=runner.id)
    starts = [dict(start, runner=runner.id) for runner in world.runners for start in runner.starts]
    broken = 0
    for start in sorted(starts, key=lambda start: start["at"]):
        end = done.get(start["task"])
        if end and start["at"] > end["at"]:
            broken += 1
            record.write(
                f"TWICE: {start['task']} run {start['run']} started on {start['runner']} at"
                f" {start['at']:.3f}; run {end['run']} had ended done on {end['runner']} at"
                f" {end['at']:.3f} (end {end['n']}), taken note of at {end['noted']:.3f}")
    lapses = sum(len(runner.lapses) for runner in world.runners)
    record.say(f"{len(starts)} starts of {len(done)} tasks that are done; leases lapsed: {lapses};"
               f" started after they were done: {broken}")
    return broken == 0


if __name__ == "__main__":
    main(HERE, case)
