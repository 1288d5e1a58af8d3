"""A runner that was cut off has more than 500 ends to tell."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import Runner, World, main, now  # noqa: E402

TASKS = 1300
WORK_S = 12.0
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
    # Two runners of about 64 cores and 250 GB.
    capacity = {"cpu": 80000, "mem_mb": 250000, "gpu": 0}
    for number in range(2):
        runner = Runner(record, world.store, number, "huvo11a", "atl-dock", capacity,
                        lambda spec, task: WORK_S, labels=("a", f"r1-{number}"))
        world.runners.append(await runner.listen())
    await world.ready()
    path = "/pufi791/5c0e7a21d94b36f8"
    body = {"spec": "reconcile", "steps": [
        {"count": TASKS, "cpu": 100, "mem_mb": 100, "estimate_ms": int(WORK_S * 1000)}]}
    if await world.client.submit(path, body) is not True:
        record.say("the submission was not accepted")
        return None
    limit = now() + 10
    while sum(len(r.starts) for r in world.runners) < TASKS and now() < limit:
        await asyncio.sleep(0.02)
    for runner in world.runners:
        span = [start["at"] for start in runner.starts]
        record.say(f"{runner.id}: {len(span)} starts from {min(span):.2f} to {max(span):.2f}")
    chosen = max(world.runners, key=lambda r: len(r.starts))
    first = min(start["at"] for start in chosen.starts) + WORK_S
    await asyncio.sleep(max(0.0, first - 0.1 - now()))
    if trouble:
        chosen.set_cut(True)
        await asyncio.sleep(CUT_S)
        chosen.set_cut(False)
        record.say(f"{chosen.id} has {len(chosen.finished)} ends to tell")
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
