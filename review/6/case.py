"""A submission whose cancelling was acknowledged is accepted and run afterwards."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world as w  # noqa: E402

FREEZE_S = 3.5   # the largest dose of `node_freeze` in the site file
PREFIX = "/pule252/"
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500, "long_running": True}]


async def case(world):
    await world.open()
    owner = await world.owner()
    world.record(f"owner: {world.entries[owner].name}")
    frozen, other = [n for n in range(3) if n != owner]
    # An ordinary submission of each entry, so that all channels between them are open.
    for at in (frozen, other):
        await world.accept("/lohu930/", world.new_id(), [{"count": 1, "cpu": 500, "mem_mb": 64,
                                                          "estimate_ms": 300}])
        await world.submit("/lohu930/", world.new_id(), [{"count": 1, "cpu": 500, "mem_mb": 64,
                                                          "estimate_ms": 300}], at=at)
    await asyncio.sleep(2)
    ident = world.new_id()
    entry = world.entries[frozen]
    if world.trouble:
        entry.signal(signal.SIGSTOP)
    began = w.now()
    # The client's budget is 3 s; without an answer it closes the channel and gives up.
    status = await world.submit(PREFIX, ident, STEPS, at=frozen, timeout=3.0)
    cancelled = await world.cancel(PREFIX, ident, at=other)
    acknowledged = w.now()
    if world.trouble:
        await asyncio.sleep(max(0, began + FREEZE_S - w.now()))
        entry.signal(signal.SIGCONT)
    if cancelled not in (200, 410):
        raise RuntimeError("the cancelling was not acknowledged")
    # No disruption is near from here on. The submission has to be gone after cancel_ms + stop_ms of
    # calm, which begins contact_ms after the end of the freeze.
    bounds = w.BOUNDS
    calm = max(acknowledged, began + FREEZE_S) + bounds["contact_ms"] / 1000
    until = calm + (bounds["cancel_ms"] + bounds["stop_ms"]) / 1000
    while w.now() < until + 4:
        await asyncio.sleep(0.5)
    await world.state(PREFIX, ident, at=other)
    for task, run, life in world.running(ident):
        world.rule("UNASKED", f"{task} run {run} is at work on {life} "
                   f"{w.now() - acknowledged:.1f} s after the cancelling was acknowledged")
    late = [s for s in world.starts if s[1].startswith(ident) and s[0] > acknowledged]
    for at, task, run, life, _ in late:
        world.record(f"start of {task} {at - acknowledged:.3f} s after the acknowledgement")


w.run(FOLDER, case)
