"""Stand-ins of the second review: the platform's store, runners, its machines, and clients.

They follow PROTOCOL.md and run in one process on loopback addresses. The entries are the project's
own program, started with the command and the settings template of the deploy folder.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "nony24.example"
SERVICE = "huvo11a"
ZONES = ["halle-bern", "halle-olten", "halle-aarau"]
# The bounds of the small deployment in SYSTEM.md.
BOUNDS = {"hold_max_ms": 6000, "stop_ms": 900, "gang_ms": 3000, "cancel_ms": 3000,
          "visible_ms": 3000, "contact_ms": 3000, "drain_ms": 2000, "grace_s": 6,
          "lease_ms": 3000, "status_s": 120, "ack_timeout_ms": 4000, "finish_s": 14,
          "upkeep_s": 2}
HEARTBEAT = 1.1
VALUE_BYTES = 1048576


def now():
    return time.monotonic()


class Record:
    """The lines of record.txt, with seconds since the beginning."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads a request or an answer: first line, headers, body. None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def answer_bytes(status, body):
    data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


async def serve(address, handler):
    """Serves HTTP at an address. handler(method, target, headers, body) -> (status, body), or None
    for no answer."""
    async def channel(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                result = await handler(method, target, message[1], message[2])
                if result is None:
                    await asyncio.sleep(30)
                    break
                writer.write(answer_bytes(*result))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(channel, address[0], address[1], limit=1 << 22)


async def call(address, method, path, body=None, timeout=3.0, headers=None):
    """One call on a channel of its own. Returns (status, body), or (None, reason)."""
    data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(data)}",
             "Content-Type: application/json", f"X-Deadline-Ms: {int(timeout * 1000)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer = None

    async def talk():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        return await read_message(reader)
    try:
        message = await asyncio.wait_for(talk(), timeout)
        if message is None:
            return None, "channel ended"
        text = message[2].decode() or "null"
        try:
            parsed = json.loads(text)
        except ValueError:
            parsed = text
        return int(message[0].split(" ")[1]), parsed
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except OSError as error:
        return None, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------- store

class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}      # key -> [value, revision, made]
        self.revision = 10
        self.history = []    # (revision, key, value or None)
        self.changed = asyncio.Condition()
        self.writes = 0
        self.largest = 0     # bytes of the largest value that was sent
        self.refused = 0     # writes of values over the limit
        self.down = False    # answers 503, and does nothing

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, value):
        self.revision += 1
        made = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, made]
        self.history.append((self.revision, key, value))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, None))

    async def write(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
        await self.notify()

    async def erase(self, key):
        self.remove(key)
        await self.notify()

    def read(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item[0]))

    def item(self, key):
        value, revision, made = self.items[key]
        return {"key": key, "value": value, "revision": revision, "made": made, "lease": 0}

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        await asyncio.sleep(0.004)
        if self.down:
            return 503, None
        if parts.path == "/-/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, self.item(key) | {"at": self.revision}
        if parts.path == "/-/kv-range":
            after = query.get("depends_on", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            page, size = [], 0
            for key in keys:
                if len(page) >= 500 or size > 1_000_000:
                    break
                page.append(self.item(key))
                size += len(self.items[key][0])
            return 200, {"items": page, "more": len(page) < len(keys), "at": self.revision}
        if parts.path == "/-/kv-watch":
            return await self.watch(query)
        if parts.path == "/-/kv-txn":
            return await self.txn(json.loads(body))
        return 400, None

    async def watch(self, query):
        prefix, since = query["prefix"], int(query["depends_on"])
        until = now() + min(int(query.get("wait_ms", 0)), 30000) / 1000

        def events():
            rows = []
            for revision, key, value in self.history:
                if revision > since and key.startswith(prefix):
                    if value is None:
                        rows.append({"key": key, "revision": revision, "gone": True})
                    else:
                        rows.append({"key": key, "value": value, "revision": revision})
            return rows
        async with self.changed:
            while not (rows := events()) and (left := until - now()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                if self.down:
                    return 503, None
            return 200, {"events": rows, "at": self.revision}

    async def txn(self, wanted):
        self.writes += 1
        expected = wanted.get("expected_rev", [])
        puts, removes = wanted.get("put", []), wanted.get("remove", [])
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, None
        sizes = [len(base64.b64decode(put["value"])) for put in puts]
        self.largest = max([self.largest, *sizes])
        if any(size > VALUE_BYTES for size in sizes):
            self.refused += 1
            return 400, None
        if any(self.items.get(row["key"], [0, 0])[1] != row["revision"] for row in expected):
            rows = [self.item(row["key"]) if row["key"] in self.items
                    else {"key": row["key"], "revision": 0} for row in expected]
            return 412, {"items": rows}
        for key in removes:
            self.remove(key)
        for put in puts:
            self.put(put["key"], put["value"])
        await self.notify()
        return 200, {"revision": self.revision}


# ---------------------------------------------------------------- runners

class Life:
    """One life of a runner."""

    def __init__(self, world, machine, ident):
        self.world, self.machine, self.id = world, machine, ident
        self.began = now()
        self.fence = 0
        self.deadline = 0
        self.active = {}     # task -> dict
        self.ends = []
        self.count = 0
        self.over = {}       # task -> highest run that was stopped or has ended
        self.changed = asyncio.Condition()
        self.dead = False

    def clock(self):
        return int((now() - self.began) * 1000)

    async def end(self, task, how):
        run = self.active.pop(task, None)
        if run is None:
            return
        self.count += 1
        self.over[task] = max(self.over.get(task, 0), run["run"])
        self.ends.append([self.count, task, run["run"], how, ""])
        self.world.note_end(self, task, run["run"], how)
        async with self.changed:
            self.changed.notify_all()

    def room(self):
        left = dict(self.machine.capacity)
        for run in self.active.values():
            for name in left:
                left[name] -= run["needs"].get(name, 0)
        return left


class Machine:
    """A machine and the runner on it."""

    def __init__(self, world, name, address, zone, capacity, labels):
        self.world, self.name, self.address, self.zone = world, name, address, zone
        self.capacity, self.labels = capacity, labels
        self.life, self.state, self.lives = None, "up", 0
        self.upkept = set()
        self.fence = 0
        self.server = None
        self.ticker = None
        self.grey = False

    def entry(self):
        return {"service": SERVICE, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "machine": self.name, "sequence": 1}

    async def boot(self):
        self.lives += 1
        self.life = Life(self.world, self, f"i-{self.name}-{self.lives}")
        self.state = "up"
        self.server = await serve(self.address, self.handle)
        self.ticker = asyncio.create_task(self.tick(self.life))
        await self.world.store.write(f"servers/{self.life.id}", self.entry())
        self.world.record(f"runner {self.life.id} is up")

    async def die(self, why, lapse):
        """The runner ends without a word; its entry goes after `lapse` seconds."""
        life = self.life
        self.world.record(f"runner {life.id} ends: {why}")
        life.dead = True
        for task in list(life.active):
            self.world.note_lost(life, task)
        life.active.clear()
        self.life = None
        self.ticker.cancel()
        self.server.close()

        async def leave():
            await asyncio.sleep(lapse)
            await self.world.store.erase(f"servers/{life.id}")
            self.world.record(f"the entry of {life.id} is gone")
        self.world.spawn(leave())

    async def tick(self, life):
        while not life.dead:
            await asyncio.sleep(0.02)
            if life.active and life.clock() > life.deadline:
                for task in list(life.active):
                    await life.end(task, "lapsed")
                continue
            for task, run in list(life.active.items()):
                if run["until"] is not None and now() >= run["until"]:
                    await life.end(task, run["how"])

    async def handle(self, method, target, headers, body):
        life = self.life
        if life is None:
            return None
        if target == "/healthz":
            return 200, None
        if headers.get("x-expect-instance", life.id) != life.id:
            return 421, {"clock_ms": life.clock()}
        wanted = json.loads(body)
        if wanted.get("fencing_token", 0) < life.fence:
            return 409, {"clock_ms": life.clock(), "reason": "fence"}
        life.fence = max(life.fence, wanted.get("fencing_token", 0))
        if "deadline_ms" in wanted:
            most = life.clock() + BOUNDS["hold_max_ms"]
            life.deadline = max(life.deadline, min(wanted["deadline_ms"], most))
        if target == "/-/run-start":
            return await self.start(life, wanted)
        if target == "/-/run-stop":
            self.world.spawn(self.stop(life, wanted["task"], wanted["run_id"]))
            return 200, {"clock_ms": life.clock()}
        if target == "/-/pace":
            return 200, {"clock_ms": life.clock()}
        if target == "/-/hold":
            return await self.hold(life, wanted)
        return 400, {"clock_ms": life.clock()}

    async def start(self, life, wanted):
        task, number = wanted["task"], wanted["run_id"]

        def no(reason):
            return 409, {"clock_ms": life.clock(), "reason": reason}
        if wanted["deadline_ms"] <= life.clock():
            return no("late")
        if task in life.active and life.active[task]["run"] == number:
            return 200, {"clock_ms": life.clock()}
        if number <= life.over.get(task, 0) or task in life.active:
            return no("old")
        step = self.world.step_of(task)
        needs = {name: step.get(name, 0) for name in ("cpu", "mem_mb")}
        if step.get("fills"):
            needs["cpu"] = 0
        room = life.room()
        if any(needs[name] > room[name] for name in needs):
            return no("room")
        long_running = step.get("long_running", False)
        takes = 0.5 if long_running else step.get("takes_s", step.get("estimate_ms", 500) / 1000)
        figure = step["tail_ms"] if "tail_ms" in step else float(step.get("cpu", 0)) / 1000
        run = {"run": number, "needs": needs, "began": now(), "takes": takes, "how": "done",
               "figure": figure,
               "until": None if long_running or step.get("gang") else now() + takes}
        life.active[task] = run
        self.world.note_start(life, task, number, wanted)
        if self.grey:
            # A runner that fails all that it starts.
            run["until"], run["how"] = now() + 0.05, "failed"
        elif step.get("gang"):
            self.world.spawn(self.world.gang(task, number))
        return 200, {"clock_ms": life.clock()}

    async def stop(self, life, task, number):
        await asyncio.sleep(0.1)
        if life.dead:
            return
        run = life.active.get(task)
        if run is not None and run["run"] == number:
            await life.end(task, "stopped")
        else:
            life.over[task] = max(life.over.get(task, 0), number)

    async def hold(self, life, wanted):
        life.ends = [end for end in life.ends if end[0] > wanted.get("last_seen", 0)]
        until = now() + min(wanted.get("wait_ms", 0), 2000) / 1000
        async with life.changed:
            while not life.ends and not life.dead and (left := until - now()) > 0:
                try:
                    await asyncio.wait_for(life.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if life.dead:
            return None
        rows = []
        for task, run in life.active.items():
            percent = min(100, int(100 * (now() - run["began"]) / max(run["takes"], 0.01)))
            rows.append([task, run["run"], "", percent, run["figure"]])
        return 200, {"clock_ms": life.clock(), "active": rows, "finished": life.ends[:500]}


# ---------------------------------------------------------------- the world

def free_net():
    """Returns the second and third number of loopback addresses whose ports are free. All entries
    have the same ports, so each world takes addresses of its own."""
    for _ in range(100):
        net = random.randint(20, 220), random.randint(1, 250)
        try:
            for last, port in ((1, 8169), (2, 8169), (10, 7720), (10, 8161), (10, 9464), (100, 8080)):
                with socket.socket() as probe:
                    probe.bind((f"127.{net[0]}.{net[1]}.{last}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


def render(template, fields):
    """Fills a template of the deploy file, as far as DEPLOY.md describes it and it is used here."""
    def value(name, scope):
        for table in scope:
            found = table
            for part in name.split("."):
                if isinstance(found, dict):
                    found = found.get(part)
                elif isinstance(found, list) and part.isdigit():
                    found = found[int(part)]
                else:
                    found = None
                if found is None:
                    break
            if found is not None:
                return found
        return None

    def show(found):
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(str(part) for part in found)
        return str(found)

    def section(match):
        return match.group(2) if value(match.group(1), [fields]) else ""
    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda match: show(value(match.group(1), [fields])), text)


class Entry:
    """One process of the project on an entry instance."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.name = f"edge-{ZONES[number % len(ZONES)]}-{number + 1}"
        self.ip = world.ip(10 + number)
        self.frontend = (self.ip, world.ports["frontend"])
        self.process = None

    async def start(self):
        world = self.world
        ports = world.ports
        fields = {"node_name": self.name, "region": "mittelland",
                  "zone": ZONES[self.number % len(ZONES)], "ip": self.ip,
                  "listen_addrs": {"frontend": f"{self.ip}:{ports['frontend']}",
                                   "readiness": f"{self.ip}:{ports['readiness']}"},
                  "internal_ports": [ports["internal"], ports["internal"] + 15],
                  "seeds": [f"{entry.ip}:{ports['control']}" for entry in world.entries[:3]],
                  "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100},
                  "platform": {"address": "%s:%d" % world.store_address},
                  "advice": "", "bounds": BOUNDS,
                  "cloud_api": {"address": "%s:%d" % world.cloud_address}}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(world.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(world.folder, self.name + ".log"), "ab")
        program, *arguments = role["run"].split(" ")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, program), *arguments, cwd=ROOT, stdout=log, stderr=log,
            env=keep | {"ASHTILLER_SETTINGS": path} | world.env)
        world.record(f"{self.name} is started")

    def signal(self, number):
        self.world.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.returncode is None


class World:
    def __init__(self, folder, trouble, entries=3, machines=4, cpu=16000):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = trouble
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.tasks = set()
        self.env = {}
        self.ports = {"frontend": 8161, "readiness": 8167, "control": 8166, "internal": 7720}
        self.net = free_net()
        self.store_address = (self.ip(1), 8169)
        self.cloud_address = (self.ip(2), 8169)
        self.store = Store()
        self.entries = []
        self.entries = [Entry(self, number) for number in range(entries)]
        self.machines = {}
        for number in range(machines):
            name = f"m-{number:05x}"
            self.machines[name] = Machine(
                self, name, (self.ip(100 + number), 8080), ZONES[number % len(ZONES)],
                {"cpu": cpu, "mem_mb": 64000, "gpu": 0}, ["a", f"r1-{number // 2 + 1}"])
        self.jobs = {}       # id -> submission
        self.starts = []     # (time, task, run, life id, fence)
        self.ends = []       # (time, task, run, life id, how)
        self.upkeeps = []    # (time, machine, wave, fence)
        self.gangs = {}
        self.broken = []

    def ip(self, last):
        return f"127.{self.net[0]}.{self.net[1]}.{last}"

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def note_start(self, life, task, run, wanted):
        self.starts.append((now(), task, run, life.id, wanted["fencing_token"]))
        self.record(f"start of {task} run {run} at {life.id}")

    def note_end(self, life, task, run, how):
        self.ends.append((now(), task, run, life.id, how))
        self.record(f"end of {task} run {run} at {life.id}: {how}")

    def note_lost(self, life, task):
        self.record(f"{task} is lost with {life.id}")

    def running(self, job):
        """The runs of a submission that are at work now."""
        return [(task, run["run"], machine.life.id)
                for machine in self.machines.values() if machine.life
                for task, run in machine.life.active.items() if task.startswith(job + ".")]

    def members(self, task, number):
        stem = task.rsplit(".", 1)[0]
        return [(machine.life, name) for machine in self.machines.values() if machine.life
                for name, run in machine.life.active.items()
                if name.rsplit(".", 1)[0] == stem and run["run"] == number]

    async def gang(self, task, number):
        """The tasks of a gang work from the moment when all of one run are present."""
        key = task.rsplit(".", 1)[0], number
        if key in self.gangs:
            return
        self.gangs[key] = True
        step = self.step_of(task)
        until = now() + BOUNDS["gang_ms"] / 1000
        while len(self.members(task, number)) < step["count"]:
            await asyncio.sleep(0.02)
            if now() >= until or not self.members(task, number):
                for life, name in self.members(task, number):
                    await life.end(name, "alone")
                return
        until = now() + step.get("takes_s", 1.0)
        while now() < until:
            await asyncio.sleep(0.02)
            if len(self.members(task, number)) < step["count"]:
                for life, name in self.members(task, number):
                    await life.end(name, "broken")
                return
        for life, name in self.members(task, number):
            await life.end(name, "done")

    async def cloud(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if method == "GET":
            rows = [{"machine": machine.name, "pool": SERVICE, "state": machine.state,
                     "zone": machine.zone, "labels": machine.labels, "capacity": machine.capacity,
                     "id": machine.life.id if machine.life else None}
                    for machine in self.machines.values()]
            return 200, {"machines": rows, "next_token": None}
        wanted = json.loads(body)
        machine = self.machines.get(wanted["machine"])
        fence = int(headers.get("x-fencing-token", "0"))
        if target != "/-/machine-upkeep" or machine is None:
            return 400, None
        wave = self.store.read(f"op/wave/{wanted['wave']}")
        if wave is None or machine.name not in wave["machines"]:
            return 409, {"reason": "wave"}
        if wanted["wave"] in machine.upkept:
            return 200, {}
        if machine.state != "up":
            self.record(f"upkeep of {machine.name} refused: it is {machine.state}")
            return 409, {"reason": "busy"}
        machine.upkept.add(wanted["wave"])
        self.upkeeps.append((now(), machine.name, wanted["wave"], fence))
        self.record(f"upkeep of {machine.name} for wave {wanted['wave']} begins")
        machine.state = "upkeep"
        await machine.die("upkeep", 0.0)

        async def back():
            await asyncio.sleep(BOUNDS["upkeep_s"])
            await machine.boot()
        self.spawn(back())
        return 200, {}

    async def outage(self, span):
        """The store is down for `span` seconds. The entries of the runners lapse meanwhile, and are
        back within two seconds of its return."""
        self.store.down = True
        self.record("the store is down: it answers 503")
        await asyncio.sleep(span)
        for machine in self.machines.values():
            if machine.life:
                self.store.remove(f"servers/{machine.life.id}")
        self.store.down = False
        self.record("the store is back, without the entries of the runners")
        await self.store.notify()

        async def again(machine, delay):
            await asyncio.sleep(delay)
            if machine.life:
                await self.store.write(f"servers/{machine.life.id}", machine.entry())
                self.record(f"the entry of {machine.life.id} is back")
        for number, machine in enumerate(self.machines.values()):
            self.spawn(again(machine, 0.3 + 1.5 * number / len(self.machines)))

    async def crash(self, machine, dark):
        """The runner crashes, says nothing, and a new life comes after `dark` seconds."""
        machine.state = "down"
        await machine.die("crash", 3 * HEARTBEAT)
        await asyncio.sleep(dark)
        await machine.boot()

    async def open(self, advance=3.0):
        """Starts everything, and waits until all entries are ready."""
        servers = [await serve(self.store_address, self.store.handle),
                   await serve(self.cloud_address, self.cloud)]
        await self.store.write("op/config", self.config(1))
        for machine in self.machines.values():
            await machine.boot()
        for entry in self.entries:
            await entry.start()
        until = now() + 20
        for entry in self.entries:
            while True:
                status, _ = await call((entry.ip, self.ports["readiness"]), "GET", "/-/readyz",
                                       timeout=1.0)
                if status == 200:
                    break
                if now() > until or not entry.alive():
                    raise RuntimeError(f"{entry.name} does not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(advance)
        return servers

    def config(self, version):
        def route(name, prefix, priority, attempts, extension, target):
            return {"name": name, "host": HOST, "prefix": prefix, "kind": "non_idempotent",
                    "timeout_ms": 3000, "target_latency_ms": target, "priority": priority,
                    "service": SERVICE, "max_attempts": attempts, "extension": extension}
        return {"version": version,
                "routes": [route("r-lasting", "/pule252/", 0, 2, 2.2, 2500),
                           route("r-batch", "/pufi791/", 2, 4, 2.0, 1000),
                           route("r-short", "/lohu930/", 0, 3, 1.5, 250)],
                "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64,
                              "protocol": "h1", "tls": False, "enforces_capacity": True,
                              "headroom": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def unfinished(self, ident):
        """Whether a step of a submission without times has tasks that have not ended `done`."""
        done = {task for _, task, _, _, how in self.ends if how == "done" and task.startswith(ident)}
        return len(done) < sum(step["count"] for step in self.jobs[ident]["steps"])

    async def watch_idle(self, ids):
        """Notes for each submission the longest time in which nothing of it ran although it wasn't
        done and under half of the service's capacity was in use."""
        since, longest = {}, {}
        self.idle = longest
        while True:
            busy = sum(run["needs"]["cpu"] for machine in self.machines.values() if machine.life
                       for run in machine.life.active.values())
            room = sum(machine.capacity["cpu"] for machine in self.machines.values())
            for ident in list(ids):
                if busy * 2 < room and self.unfinished(ident) and not self.running(ident):
                    began = since.setdefault(ident, now())
                    longest[ident] = max(longest.get(ident, 0), now() - began)
                else:
                    since.pop(ident, None)
            await asyncio.sleep(0.1)

    # ------------------------------------------------------------ clients

    @staticmethod
    def new_id():
        return f"{random.getrandbits(64):016x}"

    async def submit(self, prefix, ident, steps, at=0, timeout=3.0, more=None):
        # What only the stand-ins know of a step isn't sent.
        self.jobs.setdefault(ident, {"steps": steps})
        sent = [{name: value for name, value in step.items() if name not in ("takes_s", "tail_ms")}
                for step in steps]
        entry = self.entries[at]
        body = {"spec": f"spec of {ident}", "steps": sent} | (more or {})
        self.record(f"POST {prefix}{ident} at {entry.name} {json.dumps(body)[:300]}")
        status, answer = await call(entry.frontend, "POST", prefix + ident, body, timeout)
        self.record(f"POST {prefix}{ident} at {entry.name} -> {status or answer}")
        return status

    async def accept(self, prefix, ident, steps, **more):
        """Submits until the answer is 2xx."""
        for attempt in range(10):
            at = attempt % len(self.entries)
            if await self.submit(prefix, ident, steps, at=at, **more) == 200:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f"{ident} was not accepted in ten attempts")

    async def state(self, prefix, ident, at=0, timeout=3.0, quiet=False):
        entry = self.entries[at]
        status, answer = await call(entry.frontend, "GET", prefix + ident, timeout=timeout)
        if not quiet:
            self.record(f"GET {prefix}{ident} at {entry.name} -> {status or answer} {answer}")
        return status, (answer or {}).get("state") if isinstance(answer, dict) else None

    async def cancel(self, prefix, ident, at=0, timeout=3.0):
        entry = self.entries[at]
        self.record(f"DELETE {prefix}{ident} at {entry.name}")
        status, answer = await call(entry.frontend, "DELETE", prefix + ident, timeout=timeout)
        self.record(f"DELETE {prefix}{ident} at {entry.name} -> {status or answer}")
        return status

    async def owner(self):
        """The number of the entry that owns the log, by the entries' own dumps."""
        for number, entry in enumerate(self.entries):
            status, dump = await call((entry.ip, 9464), "GET", "/dump", timeout=1.0)
            if status == 200 and isinstance(dump, dict) and dump.get("owns"):
                return number
        return None

    def rule(self, name, text):
        self.broken.append(name)
        self.record(f"BROKEN {name}: {text}")

    async def close(self):
        for entry in self.entries:
            if entry.alive():
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                await entry.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self.temporary.cleanup()


def run(folder, case, **options):
    """Plays a case: exit code 1 if a rule was broken, 0 if it held, 2 if it couldn't run."""
    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(folder, os.environ.get("TROUBLE", "1") != "0", **options)
        try:
            await asyncio.wait_for(case(world), 112)
            if world.broken:
                return 1
            world.record("the rule held")
            return 0
        except Exception as error:  # noqa: BLE001 - any failure means that the case couldn't run
            world.record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await world.close()
    try:
        code = asyncio.run(main())
    except (asyncio.CancelledError, KeyboardInterrupt):
        code = 2
    sys.stdout.flush()
    os._exit(code)
