"""A queue carries `advice`. One call on 30 runners takes 2.7 s, and its tickets hold for 3 s. A submission
with one step of ten tasks is accepted."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
import deployment  # noqa: E402

DECIDE_MS, VALID_MS = 300, 3000
# With 30 runners: 2.7 s. Without the trouble 0.54 s.
EACH_MS, EACH_MS_CALM = 80, 8
# LOST: 3 s with nothing running, beyond the time of one call on 30 runners.
LIMIT_S = 3.0 + 2.7
WATCHED_S = 40.0


async def case(world):
    world.advice = {"decide_ms": DECIDE_MS, "each_ms": EACH_MS if world.trouble else EACH_MS_CALM,
                    "valid_ms": VALID_MS}
    world.configure(2)
    # `config_apply_ms` is 2 s.
    await asyncio.sleep(2.5)
    began = []
    world.watchers.append(lambda what, runner, run, how: what == "began"
                          and began.append(time.monotonic()))
    steps = [{"count": 10, "cpu": 1000, "mem_mb": 512, "estimate_ms": 700}]
    id = await world.submit(steps, {"ms": 700, "cpu": 1000})
    accepted = time.monotonic()
    while time.monotonic() < accepted + WATCHED_S and not began:
        await asyncio.sleep(0.05)
    waited = (began[0] if began else time.monotonic()) - accepted
    if began:
        await asyncio.sleep(8)
    shown = await world.state(id)
    world.record("watched", waited_s=waited, started=bool(began), tickets=len(world.tickets), shown=shown,
                 starts=world.starts)
    if waited > LIMIT_S:
        return [f"submission {id} had nothing running for {waited:.1f} s, with all of {len(world.machines)} "
                f"runners empty and {len(world.tickets)} tickets given that held for {VALID_MS} ms each"]
    return []


deployment.main(case, FOLDER, machines=48)
