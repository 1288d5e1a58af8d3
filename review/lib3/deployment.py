"""Stand-ins of the users' platform on loopback, after its pages, without packages.

One process plays the store, the runners, the machine interface and the clients. The entries are
the project's own processes, started with the command and the template of the deploy file.
Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.1
SILENT_BEATS = 3
BOUNDS = dict(drain_ms=2000, grace_s=6, hold_max_ms=6000, stop_ms=900, gang_ms=3000,
              status_s=120, lease_ms=3000, upkeep_s=2.0)


class Broken(Exception):
    """The case could not run."""


# ---------------------------------------------------------------- record

class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    return lines[0], headers, body


RESET = object()


class Server:
    """HTTP/1.1 server; `answer(method, path, query, headers, body)` returns (status, value), None for
    a connection that says nothing more, or RESET for one that is reset instead of an answer."""

    # Of all servers: channels that say nothing more are kept until the case ends.
    tasks = set()

    def __init__(self, answer):
        self.answer = answer
        self.writers = set()
        self.server = None

    async def open(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
                value = json.loads(body) if body else {}
                answer = await self.answer(method, path, query, headers, value)
                if answer is None:
                    await asyncio.Event().wait()
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                             f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                             "\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Closes the port and resets all channels, as a process does that is killed."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


async def call(address, method, target, value=None, headers=None, timeout=3.0):
    """Returns (status, value), or (None, cause) without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            data = json.dumps(value).encode() if value is not None else b""
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}"]
            headers = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
            lines += [f"{name}: {text}" for name, text in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            start, _, body = await read_message(reader)
            return int(start.split(" ")[1]), json.loads(body) if body else {}
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__
    finally:
        if writer:
            writer.close()


# ---------------------------------------------------------------- store

class Store:
    """The platform's metadata store. `down` is None, or how it is down: "busy"."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        self.down = None
        self.server = Server(self.answer)

    def item(self, key):
        value, revision, made = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "made": made, "lease": 0}

    def put(self, key, value):
        made = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, made)
        self.history.append((self.revision, key, self.item(key)))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, key,
                                 {"key": key, "revision": self.revision, "gone": True}))

    def commit(self, puts, removes=()):
        self.revision += 1
        for key, value in puts:
            self.put(key, value)
        for key in removes:
            self.remove(key)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def write(self, key, value):
        """A write of the platform or of the operator."""
        return self.commit([(key, json.dumps(value).encode())])

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if self.down == "busy":
            return 503, {}
        if path == "/-/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, {**self.item(key), "at": self.revision}
        if path == "/-/kv-range":
            after = query.get("depends_on", "")
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > after)
            page = keys[:500]
            return 200, {"items": [self.item(key) for key in page],
                         "more": len(keys) > len(page), "at": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query["prefix"], int(query["depends_on"]),
                                    int(query["wait_ms"]) / 1000)
        if path == "/-/kv-txn":
            return self.transact(body)
        return 404, {}

    async def watch(self, prefix, since, wait):
        end = time.monotonic() + wait
        while True:
            if self.down:
                return 503, {}
            events = [event for revision, key, event in self.history
                      if revision > since and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(min(left, 0.2)):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def transact(self, body):
        expected = body.get("expected_rev", [])
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        holds = all((current[row["key"]][1] if current[row["key"]] else 0) == row.get("revision", 0)
                    for row in expected)
        if not holds:
            items = [self.item(key) if known else {"key": key, "revision": 0}
                     for key, known in current.items()]
            return 412, {"items": items}
        puts = [(put["key"], base64.b64decode(put.get("value", ""))) for put in body.get("put", [])]
        for key, value in puts:
            if key.startswith("status/"):
                self.record("status written", key=key, value=value.decode())
        return 200, {"revision": self.commit(puts, body.get("remove", []))}


# ---------------------------------------------------------------- runners and machines

class Run:
    def __init__(self, task, number, work):
        self.task, self.number, self.work = task, number, work
        self.began = time.monotonic()
        self.stopping = False

    def percent(self):
        share = (time.monotonic() - self.began) / (self.work["ms"] / 1000)
        return int(max(0, min(100, share * 100)))


class Runner:
    """One life of a machine's runner. `spec` of a submission is JSON for this stand-in: `ms` of work
    until a task is done, or until one that lasts is at work (`lasts`)."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine
        self.id = f"i-{random.getrandbits(32):08x}"
        self.started = time.monotonic()
        self.clock_base = random.randrange(10_000, 90_000)
        self.fence = 0
        self.until = None
        self.runs = {}
        self.over = {}
        self.ends = []
        self.last = 0
        self.alive = True
        self.dark = False
        self.sequence = 0
        self.news = asyncio.Event()
        self.server = Server(self.answer)

    async def start(self):
        await self.server.open(self.machine.ip, self.machine.port)
        self.machine.port = self.server.address[1]
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]
        self.world.record("runner started", machine=self.machine.name, runner=self.id)

    def clock(self):
        return self.clock_base + int((time.monotonic() - self.started) * 1000 * self.world.clock_rate)

    def entry(self):
        self.sequence += 1
        ip, port = self.server.address
        return {"service": self.world.service, "address": f"{ip}:{port}", "zone": self.machine.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": self.world.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": self.machine.labels, "machine": self.machine.name,
                "clock_ms": self.clock(), "sequence": self.sequence}

    async def beat(self):
        """Writes the entry about every heartbeat; while the store is down the write fails."""
        while self.alive:
            if not self.world.store.down and not self.dark:
                self.world.beats[self.id] = time.monotonic()
                key = f"servers/{self.id}"
                if key not in self.world.store.items:
                    self.world.record("runner's entry is there", machine=self.machine.name,
                                      runner=self.id)
                # Only the entry's other fields change it.
                self.world.store.write(key, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, run, how):
        self.runs.pop(run.task, None)
        self.over[run.task] = max(run.number, self.over.get(run.task, 0))
        self.last += 1
        self.ends.append([self.last, run.task, run.number, how, ""])
        self.world.record("run ended", runner=self.id, task=run.task, run=run.number, how=how)
        self.world.ended(self, run, how)
        self.news.set()
        self.news = asyncio.Event()

    async def work(self):
        while self.alive:
            await asyncio.sleep(0.01)
            if self.until is not None and self.clock() >= self.until:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                how = self.world.fate(self, run)
                if how:
                    self.end(run, how)
                elif not run.work.get("lasts") and run.percent() >= 100 and not run.stopping:
                    self.end(run, "done")

    def lend(self, deadline):
        """Takes a lease of at most `hold_max_ms`; it never shortens."""
        longest = self.clock() + BOUNDS["hold_max_ms"]
        self.until = max(self.until or 0, min(deadline, longest))

    async def answer(self, method, path, query, headers, body):
        if self.dark:
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = token
        if path == "/-/run-start":
            self.world.starts += 1
            trouble = self.world.trouble_of(self, body)
            if trouble == "reset":
                answer = self.take(body)
                self.world.record("channel reset before the answer to a start", runner=self.id,
                                  task=body["task"], run=body["run_id"], done=answer[0])
                return RESET
            if trouble == "dark":
                self.machine.lose_power(4.5)
            if self.dark:
                return None
            if trouble == "busy":
                self.world.record("start answered 503", runner=self.id, task=body["task"],
                                  run=body["run_id"])
                return 503, {}
            if trouble:
                self.world.record("start left unanswered", runner=self.id, task=body["task"],
                                  run=body["run_id"], done_after_s=trouble)
                asyncio.get_running_loop().call_later(trouble, self.take_late, body)
                return None
            return self.take(body)
        if path == "/-/run-stop":
            task, number = body["task"], body["run_id"]
            self.over[task] = max(number, self.over.get(task, 0))
            run = self.runs.get(task)
            self.world.record("stop ordered", runner=self.id, task=task, run=number)
            if run and run.number <= number and not run.stopping:
                run.stopping = True
                asyncio.get_running_loop().call_later(0.1, self.stopped, run)
            return 200, {"clock_ms": self.clock()}
        if path == "/-/hold":
            return await self.hold(body)
        if path == "/-/pace":
            return 200, {"clock_ms": self.clock()}
        return 400, {"clock_ms": self.clock()}

    def take_late(self, body):
        """Carries out a start that was left unanswered, as if it had just come."""
        answer = (409, {"reason": "fence"}) if body["fencing_token"] < self.fence else self.take(body)
        if self.alive:
            self.world.record("late start", runner=self.id, task=body["task"], run=body["run_id"],
                              answer=answer[0], reason=answer[1].get("reason"))

    def stopped(self, run):
        if self.alive and self.runs.get(run.task) is run:
            self.end(run, "stopped")

    def take(self, body):
        task, number = body["task"], body["run_id"]
        answer = {"clock_ms": self.clock()}
        known = self.runs.get(task)
        if known and known.number == number:
            self.lend(body["deadline_ms"])
            return 200, answer
        if body["deadline_ms"] <= self.clock():
            return 409, {**answer, "reason": "late"}
        if number <= self.over.get(task, 0) or known:
            self.lend(body["deadline_ms"])
            return 409, {**answer, "reason": "old"}
        if not self.world.admits(self, body):
            return 409, {**answer, "reason": "ticket"}
        used = sum(run.work["cpu"] for run in self.runs.values())
        work = json.loads(body["spec"])
        self.lend(body["deadline_ms"])
        if used + work["cpu"] > self.world.cpu:
            return 409, {**answer, "reason": "room"}
        run = Run(task, number, work)
        self.runs[task] = run
        self.world.record("run started", machine=self.machine.name, runner=self.id, task=task,
                          run=number, fence=self.fence)
        self.world.began(self, run)
        return 200, answer

    async def hold(self, body):
        seen = body.get("last_seen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        if "deadline_ms" in body:
            self.lend(body["deadline_ms"])
        wait = body.get("wait_ms", 0) / 1000
        if wait and not self.ends:
            try:
                async with asyncio.timeout(min(wait, 2.0)):
                    await self.news.wait()
            except TimeoutError:
                pass
        active = [[run.task, run.number, "", run.percent()] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock(), "active": active, "finished": self.ends[:500]}

    def die(self, cause):
        """The process is gone: what runs on it dies, the port refuses, the entry is written no more."""
        if not self.alive:
            return
        self.alive = False
        self.server.crash()
        for task in self.tasks:
            task.cancel()
        lost = [f"{run.task}/{run.number}" for run in self.runs.values()]
        self.world.record("runner gone", machine=self.machine.name, runner=self.id, cause=cause,
                          lost=lost)
        self.runs.clear()


class Machine:
    def __init__(self, world, number, ip):
        self.world, self.ip, self.port = world, ip, 0
        self.name = f"m-{number:05x}"
        self.zone = world.zones[number % len(world.zones)]
        self.rack = f"r{number % 3}-1"
        self.labels = ["a", self.rack]
        self.state = "down"
        self.runner = None
        self.upkept = set()
        self.moving = None

    async def boot(self):
        self.runner = Runner(self.world, self)
        await self.runner.start()
        self.state = "up"

    async def again(self, delay):
        await asyncio.sleep(delay)
        await self.boot()

    def crash(self, down_s):
        """The runner crashes and comes again with another id."""
        self.runner.die("crash")
        self.state = "down"
        self.moving = asyncio.create_task(self.again(down_s))

    def lose_power(self, down_s):
        """The runner crashes and says nothing, not even that its port is closed."""
        self.runner.dark = True
        self.state = "down"
        self.world.record("runner dark", machine=self.name, runner=self.runner.id, for_s=down_s,
                          lost=[f"{run.task}/{run.number}" for run in self.runner.runs.values()])
        self.runner.runs.clear()
        self.moving = asyncio.create_task(self.after_dark(down_s))

    async def after_dark(self, delay):
        await asyncio.sleep(delay)
        self.runner.die("dark")
        await self.boot()

    def keep_up(self, wave):
        self.upkept.add(wave)
        self.runner.die("upkeep")
        self.state = "upkeep"
        self.moving = asyncio.create_task(self.again(BOUNDS["upkeep_s"]))


# ---------------------------------------------------------------- entries

def fill(template, fields):
    """Fills the gaps of the deploy file's template: values, and sections that stand if given."""
    def find(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match[2] if find(match[1]) not in (None, False) else ""

    def gap(match):
        value = find(match[1])
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


class Entry:
    def __init__(self, world, number):
        self.world = world
        self.name = f"edge-{number + 1}"
        self.zone = world.zones[number % len(world.zones)]
        self.ip = f"{world.net}.{number + 1}"
        self.process = None
        self.clients = (self.ip, world.ports[0])
        self.readiness = (self.ip, world.ports[1])

    def spawn(self):
        world = self.world
        fields = {
            "node_name": self.name, "region": "north", "zone": self.zone, "ip": self.ip,
            "listen_addrs": {"frontend": f"{self.ip}:{world.ports[0]}",
                             "readiness": f"{self.ip}:{world.ports[1]}"},
            "internal_ports": [world.ports[2], world.ports[2] + 15], "seeds": [],
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % world.store.server.address, "value_bytes": 1048576},
            "cloud_api": {"address": "%s:%d" % world.cloud.address},
            "advice": "%s:%d" % world.advisor.address,
        }
        with open(os.path.join(ROOT, "deploy", "entry.ini"), encoding="utf-8") as file:
            text = fill(file.read(), fields)
        path = os.path.join(world.folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = world.command
        log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ASHTILLER_SETTINGS"] = path
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log, start_new_session=True)
        world.record("entry started", name=self.name, pid=self.process.pid)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.world.record("entry killed", name=self.name)


def deploy_command():
    """Returns the command of the deploy file's role."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        run = re.search(r'^run = "(.*)"$', file.read(), flags=re.M)
    command = run[1].split(" ")
    if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
        raise Broken(f"{command[0]} is not built")
    return command


class World:
    """A small deployment: a store, machines with runners, the machine interface and entries."""

    def __init__(self, record_path, machines=8, entries=3):
        self.record = Record(record_path)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.command = deploy_command()
        self.folder = tempfile.mkdtemp(prefix="review-")
        number = os.getpid()
        self.net = f"127.{1 + number // 250 % 200}.{1 + number % 250}"
        self.zones = ["north-1", "north-2", "north-3"]
        self.service, self.cpu = "depot", 16000
        self.host, self.prefix = "queue.example", "/jobs/"
        self.beats = {}
        self.fates, self.watchers = [], []
        self.trouble_of = lambda runner, start: None
        self.starts = 0
        self.clock_rate = 1.0
        self.ports = self.free_ports()
        self.store = Store(self.record)
        self.cloud = Server(self.machines_call)
        self.advisor = Server(self.advise)
        self.advice = None
        self.tickets, self.deciding = {}, {}
        self.machines = [Machine(self, index, f"{self.net}.{50 + index}")
                         for index in range(machines)]
        self.entries = [Entry(self, index) for index in range(entries)]
        self.record("deployment", machines=machines, entries=entries, trouble=self.trouble)

    def free_ports(self):
        """Returns three ports that are free on all addresses of the entries."""
        for _ in range(50):
            first = random.randrange(21_000, 30_000)
            try:
                for port in (first, first + 1, first + 10):
                    for index in range(1, 6):
                        with socket.socket() as probe:
                            probe.bind((f"{self.net}.{index}", port))
                return first, first + 1, first + 10
            except OSError:
                continue
        raise Broken("no free ports")

    async def open(self):
        await self.store.server.open(f"{self.net}.200")
        await self.cloud.open(f"{self.net}.201")
        await self.advisor.open(f"{self.net}.202")
        for machine in self.machines:
            await machine.boot()
        self.lapsing = asyncio.create_task(self.lapse())
        self.configure(1)
        for entry in self.entries:
            entry.spawn()
        for entry in self.entries:
            await self.until(lambda entry=entry: call(entry.readiness, "GET", "/-/readyz"),
                             lambda answer: answer[0] == 200, 15, f"{entry.name} is not ready")
        self.record("all entries are ready")

    async def until(self, ask, holds, seconds, cause):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await ask()
            if holds(answer):
                return answer
            await asyncio.sleep(0.1)
        raise Broken(cause)

    def configure(self, version, max_attempts=3):
        advice = {"advice": self.advice} if self.advice else {}
        self.store.write("op/config", {
            "version": version,
            "routes": [{"name": "r-1", "host": self.host, "prefix": self.prefix,
                        "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
                        "priority": 0, "service": self.service, "max_attempts": max_attempts,
                        "extension": 2.0, **advice}],
            "services": [{"name": self.service, "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "enforces_capacity": True,
                          "headroom": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.record("configuration confirmed", version=version)

    async def lapse(self):
        """Removes the entries of runners that were silent for three heartbeats, also while the store
        is down."""
        while True:
            await asyncio.sleep(0.05)
            limit = time.monotonic() - SILENT_BEATS * HEARTBEAT_S
            for runner, beat in list(self.beats.items()):
                if beat < limit:
                    del self.beats[runner]
                    self.store.commit([], [f"servers/{runner}"])
                    self.record("runner's entry lapsed", runner=runner)

    async def machines_call(self, method, path, query, headers, body):
        if path == "/-/machines":
            rows = [{"machine": it.name, "pool": self.service, "state": it.state, "zone": it.zone,
                     "labels": it.labels,
                     "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                     **({"id": it.runner.id} if it.state == "up" else {})}
                    for it in self.machines]
            return 200, {"machines": rows, "next_token": None}
        machine = next((it for it in self.machines if it.name == body.get("machine")), None)
        if path != "/-/machine-upkeep" or machine is None:
            return 400, {}
        wave = body["wave"]
        answer = (409, {"reason": "busy"})
        if wave in machine.upkept:
            answer = (200, {})
        elif machine.state == "up":
            machine.keep_up(wave)
            answer = (200, {})
        self.record("upkeep ordered", machine=machine.name, wave=wave,
                    holder=headers.get("x-lease-holder"), token=headers.get("x-fencing-token"),
                    answer=answer[0])
        return answer

    async def advise(self, method, path, query, headers, body):
        """Answers which runners may run a step, three quarters of them, with tickets that hold for `valid_ms`
        from the answer on. Only the owner of the log calls, so calls are handled one at a time."""
        step, named = body["step_index"], body["workers"]
        before, turn = self.deciding.get("last"), asyncio.get_running_loop().create_future()
        self.deciding["last"] = turn
        try:
            if before:
                await before
            advice = self.advice
            await asyncio.sleep((advice["decide_ms"] + advice["each_ms"] * len(named)) / 1000)
        finally:
            turn.done() or turn.set_result(None)
        good = []
        for id in named:
            if int(id[-1], 16) % 4:
                ticket = f"t-{random.getrandbits(32):08x}"
                until = time.monotonic() + advice["valid_ms"] / 1000
                self.tickets[ticket] = (step, id, until)
                good.append([id, ticket])
        self.record("advice", step=step, named=len(named), good=len(good))
        return 200, {"good": good, "valid_ms": advice["valid_ms"]}

    def admits(self, runner, start):
        """Reports whether a start brings a ticket that holds, if its queue needs one."""
        step = start["task"].rsplit(".", 1)[0]
        ticket = self.tickets.get(start.get("ticket"))
        return not self.advice or (ticket is not None and ticket[:2] == (step, runner.id)
                                   and time.monotonic() < ticket[2])

    # Hooks of a case: what becomes of a run, and what to note of it.

    def fate(self, runner, run):
        for rule in self.fates:
            how = rule(runner, run)
            if how:
                return how
        return None

    def began(self, runner, run):
        for watcher in self.watchers:
            watcher("began", runner, run, None)

    def ended(self, runner, run, how):
        for watcher in self.watchers:
            watcher("ended", runner, run, how)

    def active(self, task):
        """Returns the runs of a task that are there now."""
        return [(it.runner, it.runner.runs[task]) for it in self.machines
                if it.runner and it.runner.alive and task in it.runner.runs]

    async def leader(self):
        """Returns the entry that owns the log, by its dump for operators."""
        for entry in self.entries:
            if entry.process.poll() is None:
                status, dump = await call((entry.ip, 9464), "GET", "/dump")
                if status == 200 and dump["owns"]:
                    return entry
        return None

    # Clients.

    async def client(self, method, id, value=None, entry=None, timeout=3.0):
        entry = entry or self.entries[random.randrange(len(self.entries))]
        answer = await call(entry.clients, method, self.prefix + id, value,
                            {"Host": self.host, "Content-Type": "application/json",
                             "X-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record("client", method=method, id=id, entry=entry.name, answer=answer[0],
                    value=answer[1])
        return answer

    @staticmethod
    def new_id():
        return f"{random.getrandbits(64):016x}"

    async def submit(self, steps, spec, id=None, **more):
        """Submits under a new id until it is accepted, as clients do."""
        id = id or self.new_id()
        self.record("submission", id=id, steps=steps, spec=spec)
        body = {"spec": json.dumps(spec), "steps": steps, **more}
        for _ in range(10):
            status, _ = await self.client("POST", id, body)
            if status == 200:
                return id
            await asyncio.sleep(0.5)
        raise Broken("a submission is not accepted")

    async def state(self, id):
        """Returns what a client is shown; asks again where no answer comes."""
        for _ in range(8):
            status, value = await self.client("GET", id)
            if status == 200:
                return value["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.5)
        return None

    def close(self):
        for entry in self.entries:
            entry.kill()
        for machine in self.machines:
            if machine.moving:
                machine.moving.cancel()
            if machine.runner:
                machine.runner.die("end of the case")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder, limit=110, **sizes):
    """Runs a case: `case(world)` returns the breaks of the rule that it has seen. Ends with 1 if there
    are any, 0 if there are none, and 2 if the case could not run."""
    async def play():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = World(os.path.join(folder, "record.txt"), **sizes)
        try:
            async with asyncio.timeout(limit):
                await world.open()
                breaks = await case(world)
            for text in breaks:
                world.record("RULE BROKEN", how=text)
                print(f"rule broken: {text}")
            world.record("end", broken=bool(breaks))
            print("the rule was broken" if breaks else "the rule held")
            return 1 if breaks else 0
        except (Exception, asyncio.CancelledError) as error:  # a fault of the case is no broken rule
            world.record("could not run", cause=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            world.close()

    try:
        code = asyncio.run(play())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
