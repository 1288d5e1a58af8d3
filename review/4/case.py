"""What was learned of many images makes an entry of the log that the store never takes."""
import asyncio
import hashlib
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world as w  # noqa: E402

SLACK_S = 1      # for the sampling and the news of ends
SERVES, FILLS = 60, 240
CHAIN = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1500},
         {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1500, "depends_on": [0]}]


def image(kind, number):
    digest = hashlib.sha256(f"{kind} {number}".encode()).hexdigest()
    return f"flotten-dienst/{kind}/mittelland/halle-bern/werkstatt-{number:03d}@sha256:{digest}"


def serve(number):
    return {"count": 1, "cpu": 300, "mem_mb": 256, "estimate_ms": 500, "long_running": True,
            "image": image("feld-lauscher", number), "target_ms": 50, "tail_ms": 8}


def fill(number):
    return {"count": 1, "cpu": 300, "mem_mb": 128, "estimate_ms": 1500,
            "image": image("ertrag-abgleich", number), "fills": True}


async def case(world):
    await world.open()
    # With the disruption each team has an image of its own; without, they share nine and five.
    serves = SERVES if world.trouble else 5
    fills = FILLS if world.trouble else 9
    await world.accept("/pule252/", world.new_id(), [serve(n % serves) for n in range(SERVES)])
    await asyncio.sleep(2)
    ordinary = []
    world.spawn(world.watch_idle(ordinary))
    began = w.now()
    turn = 0
    while w.now() < began + 45:
        for _ in range(2):
            steps = [fill((turn * 16 + n) % fills) for n in range(16)]
            turn += 1
            await world.submit("/pufi791/", world.new_id(), steps, at=turn % 3)
        ident = world.new_id()
        if await world.submit("/lohu930/", ident, CHAIN, at=turn % 3) == 200:
            ordinary.append(ident)
        world.record(f"largest value sent to the store: {world.store.largest} bytes of {w.VALUE_BYTES}; "
                     f"refused: {world.store.refused}; last start "
                     f"{w.now() - max(at for at, *_ in world.starts):.1f} s ago")
        if world.store.refused > 20:
            break
        await asyncio.sleep(0.7)
    await asyncio.sleep(w.BOUNDS["finish_s"])

    async def ask(number, ident):
        for at in range(3):
            status, state = await world.state("/lohu930/", ident, at=(number + at) % 3)
            if status == 200:
                return state
        return None
    states = await asyncio.gather(*(ask(n, ident) for n, ident in enumerate(ordinary)))
    world.record(f"largest value sent to the store: {world.store.largest} bytes of {w.VALUE_BYTES}; "
                 f"refused: {world.store.refused}; last start "
                 f"{w.now() - max(at for at, *_ in world.starts):.1f} s ago")
    for ident, state in zip(ordinary, states):
        if state is None:
            world.rule("LOST", f"{ident} was accepted, and no entry answers what became of it")
        elif state != "complete":
            world.record(f"{ident} was accepted and is {state}")
    for ident, longest in world.idle.items():
        if longest > 3 + SLACK_S:
            world.rule("LOST", f"for {longest:.1f} s nothing of {ident} ran though its turn had come, "
                       "with under half of the capacity in use")


w.run(FOLDER, case)
