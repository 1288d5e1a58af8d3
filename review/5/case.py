"""One accepted submission with many due times ends the work for everybody."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world as w  # noqa: E402

SLACK_S = 1      # for the sampling and the news of ends
MINUTE_MS = 60_000
DAYS = 340       # since the first of January, as on the sixth of December
CHAIN = [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500},
         {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500, "depends_on": [0]},
         {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500, "depends_on": [1]}]
TIMED = [{"count": 3, "cpu": 100, "mem_mb": 64, "estimate_ms": 200}]


async def case(world):
    await world.open()
    ordinary = []
    world.spawn(world.watch_idle(ordinary))
    for _ in range(6):
        ident = world.new_id()
        await world.accept("/lohu930/", ident, CHAIN)
        ordinary.append(ident)
    # Each minute of this year; without the disruption only the last of them.
    minutes = DAYS * 24 * 60 if world.trouble else 0
    first = int(time.time() * 1000) - minutes * MINUTE_MS
    await world.accept("/pufi791/", world.new_id(), TIMED, more={
        "first_run_ms": first, "interval_ms": MINUTE_MS,
        "repeat_count": 365 * 24 * 60 if world.trouble else 1})
    sent = w.now()
    # The usual traffic goes on.
    for number in range(10):
        ident = world.new_id()
        if await world.submit("/lohu930/", ident, CHAIN, at=number % 3) == 200:
            ordinary.append(ident)
        await asyncio.sleep(0.5)
    ended = w.now()
    await asyncio.sleep(w.BOUNDS["finish_s"])

    async def ask(number, ident):
        # A client asks each entry, up to three times.
        for at in range(9):
            status, state = await world.state("/lohu930/", ident, at=(number + at) % 3)
            if status == 200:
                return state
        return None
    asked = await asyncio.gather(*(ask(number, ident) for number, ident in enumerate(ordinary)))
    states = dict(zip(ordinary, asked))
    last = max((at for at, *_ in world.starts), default=0)
    world.record(f"last start of a task: {last - sent:.1f} s after the submission; "
                 f"asked {w.now() - ended:.1f} s after the traffic ended")
    busy = sum(run["needs"]["cpu"] for machine in world.machines.values() if machine.life
               for run in machine.life.active.values())
    world.record(f"thousandths of processors in use: {busy} of {16000 * len(world.machines)}")
    for ident, state in states.items():
        if state is None:
            world.rule("LOST", f"{ident} was accepted, and no entry answers what became of it")
        elif state != "complete":
            world.record(f"{ident} was accepted and is {state}")
    for ident, longest in world.idle.items():
        if longest > 3 + SLACK_S:
            world.rule("LOST", f"for {longest:.1f} s nothing of {ident} ran though its turn had come, "
                       "with under half of the capacity in use")


w.run(FOLDER, case)
