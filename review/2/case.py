"""Clients cancel over open channels to a machine that was frozen and wakes again.

The machine that leads freezes for 3.5 s. Another one takes over, and accepts submissions. Their
clients cancel them over channels that they had opened to the frozen machine before. It wakes
within their time budget and answers them.
"""

import asyncio
import base64
import os
import re
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import Channel, Runner, World, main, now  # noqa: E402

SUBMISSIONS = 12
STEPS = 12
WORK_S = 1.5
# The dose of `node_freeze` in the site file.
FREEZE_S = 3.5
# From the moment of the freeze.
CANCEL_S = 1.9
CANCEL_MS = 3000


def leader(world):
    """The machine that last wrote the key of the lead under a condition."""
    item = world.store.items.get("ashtiller/flow/lead")
    found = item and re.search(rb"edge-\d+", base64.b64decode(item["value"]))
    return found.group(0).decode() if found else None


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
    capacity = {"cpu": 64000, "mem_mb": 250000, "gpu": 0}
    for number in range(4):
        runner = Runner(record, world.store, number, "huvo11a", "atl-dock", capacity,
                        lambda spec, task: WORK_S, labels=("a", f"r1-{number}"))
        world.runners.append(await runner.listen())
    await world.ready()
    await asyncio.sleep(2)
    first = leader(world)
    chosen = next(entry for entry in world.entries if entry.name == first)
    others = [entry for entry in world.entries if entry is not chosen]
    # Each client has an open channel to the machine, over which it has been answered.
    channels = [await Channel(chosen.clients).open() for _ in range(SUBMISSIONS)]
    for channel in channels:
        status, _ = await channel.ask("GET", "/pufi791/")
        if status != 200:
            raise RuntimeError(f"{chosen.name} answers {status} before any trouble")
    record.say(f"{first} leads; {len(channels)} channels to it are open")
    frozen_at = now()
    if trouble:
        chosen.signal(signal.SIGSTOP)
        record.say(f"{first} freezes")
    while trouble and leader(world) == first and now() < frozen_at + FREEZE_S - 1:
        await asyncio.sleep(0.02)
    record.say(f"{leader(world)} leads")

    steps = [{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": int(WORK_S * 1000)}]
    steps += [dict(steps[0], depends_on=[number]) for number in range(STEPS - 1)]
    acknowledged = {}

    async def client(number):
        id = f"5c0e7a21d94b{number:04x}"
        path = f"/pufi791/{id}"
        body = {"spec": "plan", "steps": steps}
        accepted = False
        for entry in others * 3:
            channel = await Channel(entry.clients).open()
            status, _ = await channel.ask("POST", path, body=body)
            channel.close()
            record.write(f"client: POST {path} at {entry.name} -> {status}")
            accepted = 200 <= status < 300
            if accepted:
                break
            await asyncio.sleep(0.1)
        if not accepted:
            return
        await asyncio.sleep(max(0.0, frozen_at + CANCEL_S + number * 0.1 - now()))
        sent = now()
        status, answer = await channels[number].ask("DELETE", path)
        record.write(f"client: DELETE {path} at {chosen.name}, sent at {sent:.3f}"
                     f" -> {status} {answer}")
        if 200 <= status < 300 or status == 410:
            acknowledged[id] = (now(), status)

    clients = [asyncio.ensure_future(client(number)) for number in range(SUBMISSIONS)]
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - now()))
    if trouble:
        chosen.signal(signal.SIGCONT)
        record.say(f"{first} wakes")
    await asyncio.wait(clients)
    statuses = [status for _, status in acknowledged.values()]
    record.say(f"{len(acknowledged)} of {SUBMISSIONS} cancels are acknowledged, with"
               f" {sorted(set(statuses))}")
    await asyncio.sleep(CANCEL_MS / 1000 + 6)
    for id in acknowledged:
        channel = await Channel(others[0].clients).open()
        status, answer = await channel.ask("GET", f"/pufi791/{id}")
        channel.close()
        record.write(f"client: GET /pufi791/{id} at {others[0].name} -> {status} {answer}")
    return judge(world, record, acknowledged)


def judge(world, record, acknowledged):
    """UNASKED: a machine in touch starts a task later than `cancel_ms` past the point where the
    submission's cancelling was acknowledged."""
    if len(acknowledged) < SUBMISSIONS / 2:
        raise RuntimeError(f"only {len(acknowledged)} cancels were acknowledged")
    late = 0
    fences = set()
    for runner in world.runners:
        for start in runner.starts:
            fences.add(start["fence"])
            at, status = acknowledged.get(start["task"].split(".")[0], (None, None))
            if at is not None and start["at"] > at + CANCEL_MS / 1000:
                late += 1
                record.write(f"UNASKED: {start['task']} started on {runner.id} at"
                             f" {start['at']:.3f} with fence {start['fence']}; its submission's"
                             f" cancelling was acknowledged with {status} at {at:.3f}")
    record.say(f"fences of all starts: {sorted(fences)}; starts later than cancel_ms after the"
               f" cancelling was acknowledged: {late}")
    return late == 0


if __name__ == "__main__":
    main(HERE, case)
