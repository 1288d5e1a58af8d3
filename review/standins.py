"""Small stand-ins of the users' platform for the cases of this review.

They follow PROTOCOL.md and DEPLOY.md: the platform's store, runners, the start of `edge`
processes with the settings of deploy/entry.ini, and clients. Only what the cases need is here.
Everything listens on loopback addresses and uses the real clock.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BEGAN = time.monotonic()

# Bounds, places and runners as in the site file psrcp-grind.
HOLD_MAX_MS = 10000
HEARTBEAT_S = 1.1
VALUE_BYTES = 1048576
STORE_ANSWER_S = 0.004
# What an answer with 500 ends takes on its way.
LONG_ANSWER_S = 0.05


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{now():9.3f} {text}", flush=True)


def now():
    return time.monotonic() - BEGAN


# ---------------------------------------------------------------- HTTP


class Http:
    """A small HTTP/1.1 server. `answer` gets (method, path, query, headers, body) and returns
    (status, JSON or None), or None to say nothing more on the channel."""

    def __init__(self, answer):
        self.answer = answer
        self.server = None
        self.address = None
        self.writers = set()

    async def listen(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.channel, host, 0, backlog=512)
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self

    async def channel(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, rest = target.partition("?")
                query = {}
                for pair in rest.split("&"):
                    if "=" in pair:
                        key, value = pair.split("=", 1)
                        query[key] = value.replace("%2F", "/").replace("%2f", "/")
                reply = await self.answer(method, path, query, headers, body)
                if reply is None:
                    await asyncio.sleep(3600)
                    return
                status, value = reply
                text = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        """Ends all open channels."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.server.close()
        self.reset()


async def call(address, method, path, headers=None, body=None, limit=3.0):
    """One call over a channel of its own: (status, JSON or None), or (0, reason) without an
    answer."""
    async def run():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                     "Content-Type: application/json", "Connection: close"]
            lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = re.search(r"(?i)content-length: *(\d+)", head)
            text = await reader.readexactly(int(length.group(1))) if length else b""
            return status, json.loads(text) if text else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, f"channel: {type(error).__name__}"


class Channel:
    """A client's channel to one machine, which stays open between its calls."""

    def __init__(self, address):
        self.address = address

    async def open(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    async def ask(self, method, path, deadline_ms=3000, body=None):
        """(status, JSON or None), or (0, reason) without an answer."""
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(data)}",
                 "Content-Type: application/json", f"X-Deadline-Ms: {deadline_ms}"]

        async def run():
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await self.writer.drain()
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"(?i)content-length: *(\d+)", head)
            text = await self.reader.readexactly(int(length.group(1))) if length else b""
            return int(head.split(" ", 2)[1]), json.loads(text) if text else None
        try:
            return await asyncio.wait_for(run(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            return 0, "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            return 0, f"channel: {type(error).__name__}"

    def close(self):
        self.writer.close()


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()
        self.too_large = 0
        self.http = None

    async def listen(self):
        self.http = await Http(self.answer).listen()
        return self

    def write(self, key, value):
        """Within one change, whose revision has been taken."""
        if value is None:
            self.items.pop(key, None)
        else:
            made = self.items[key]["made"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": value, "revision": self.revision,
                               "made": made, "lease": 0}
        self.history.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """As the operator or a runner writes."""
        self.revision += 1
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode())

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("depends_on", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if page and size > 1 << 20:
                    break
                page.append(self.items[key])
            return 200, {"items": page, "more": len(page) < len(keys), "at": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.commit(json.loads(body))
        return 404, None

    async def watch(self, query):
        prefix, since = query.get("prefix", ""), int(query.get("depends_on", "0"))
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = []
            for revision, key, value in self.history:
                if revision > since and key.startswith(prefix):
                    event = {"key": key, "revision": revision}
                    event.update({"gone": True} if value is None else {"value": value})
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, txn):
        rows = txn.get("expected_rev") or []
        puts, removes = txn.get("put") or [], txn.get("remove") or []
        if len(rows) + len(puts) + len(removes) > 32:
            return 400, None
        for row in puts:
            size = len(base64.b64decode(row["value"]))
            if size > VALUE_BYTES:
                self.too_large += 1
                self.record.write(f"store: refused a value of {size} bytes under {row['key']}")
                return 400, None
            if row["key"].startswith(("op/", "servers/")):
                return 403, None
        held = lambda key: self.items.get(key, {}).get("revision", 0)
        if any(held(row["key"]) != row["revision"] for row in rows):
            items = [self.items.get(row["key"], {"key": row["key"], "value": "", "revision": 0})
                     for row in rows]
            return 412, {"items": items}
        self.revision += 1
        for row in puts:
            if row["key"].endswith("/lead"):
                self.record.write(f"store: {row['key']} written at revision {self.revision}")
            self.write(row["key"], row["value"])
        for key in removes:
            self.write(key, None)
        return 200, {"revision": self.revision}


# ---------------------------------------------------------------- runners


class Runner:
    """One life of a runner. `duration` tells how long a task works: (spec, task) -> seconds."""

    def __init__(self, record, store, number, service, zone, capacity, duration,
                 labels=("a", "r1-1")):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.id = f"i-{number:04x}0001"
        self.machine = f"m-{number:05x}"
        self.capacity, self.labels, self.duration = capacity, list(labels), duration
        self.began = time.monotonic()
        self.active, self.finished, self.next_end = {}, [], 1
        self.over = {}
        self.fence, self.until, self.acknowledged = 0, 0, 0
        self.ended = asyncio.Event()
        self.cut = False
        self.sequence = 0
        self.tasks = []
        self.starts, self.ends = [], []
        self.lapses = []

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def listen(self):
        self.http = await Http(self.answer).listen()
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]
        return self

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.http.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": self.labels, "machine": self.machine,
                "clock_ms": self.clock(), "sequence": self.sequence}

    async def beat(self):
        # An entry changes in the store when more than `sequence` does.
        self.store.put(f"servers/{self.id}", self.entry())
        self.record.write(f"runner {self.id} of {self.machine} is listed")
        while True:
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, key, how):
        self.active.pop(key, None)
        task, run = key
        self.over[task] = max(self.over.get(task, 0), run)
        self.finished.append((self.next_end, task, run, how, ""))
        self.ends.append({"at": now(), "n": self.next_end, "task": task, "run": run, "how": how,
                          "noted": None})
        self.record.write(f"{self.id}: end {self.next_end} {task} run {run} {how}")
        self.next_end += 1
        self.ended.set()
        self.ended = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            at = time.monotonic()
            if self.active and self.clock() >= self.until:
                self.lapses.append(now())
                self.record.write(f"{self.id}: lease is over, {len(self.active)} runs lapse")
                for key in list(self.active):
                    self.end(key, "lapsed")
            for key, run in list(self.active.items()):
                if run["stop"] is not None and at >= run["stop"]:
                    self.end(key, "stopped")
                elif run["length"] is not None and at >= run["start"] + run["length"]:
                    self.end(key, "done")

    def extend(self, deadline):
        if deadline is not None:
            self.until = max(self.until, min(deadline, self.clock() + HOLD_MAX_MS))

    async def answer(self, method, path, query, headers, body):
        if self.cut:
            return None
        if headers.get("x-expect-instance") != self.id:
            return 421, None
        body = json.loads(body)
        reply = lambda status, reason=None: (
            status, {"clock_ms": self.clock(), **({"reason": reason} if reason else {})})
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return reply(409, "fence")
        self.fence = fence
        if path == "/-/hold":
            return await self.hold(body)
        key = (body["task"], body["run_id"])
        if path == "/-/run-start":
            old = body["run_id"] <= self.over.get(body["task"], 0)
            if key in self.active:
                self.extend(body.get("deadline_ms"))
                return reply(200)
            if old:
                self.extend(body.get("deadline_ms"))
                return reply(409, "old")
            if body["deadline_ms"] <= self.clock():
                return reply(409, "late")
            self.extend(body["deadline_ms"])
            length = self.duration(body["spec"], body["task"])
            self.active[key] = {"start": time.monotonic(), "length": length, "stop": None}
            self.starts.append({"at": now(), "task": body["task"], "run": body["run_id"],
                                "fence": fence})
            self.record.write(f"{self.id}: start {body['task']} run {body['run_id']}"
                              f" fence {fence}")
            return reply(200)
        if path == "/-/run-stop":
            task, run = key
            if key in self.active:
                if self.active[key]["stop"] is None:
                    self.active[key]["stop"] = time.monotonic() + 0.05
            else:
                self.over[task] = max(self.over.get(task, 0), run)
            return reply(200)
        if path == "/-/pace":
            return reply(200)
        return reply(400)

    async def hold(self, body):
        self.extend(body.get("deadline_ms"))
        seen = body.get("last_seen", 0)
        if seen > self.acknowledged:
            self.acknowledged = seen
            for end in self.ends:
                if end["noted"] is None and end["n"] <= seen:
                    end["noted"] = now()
            self.record.write(f"{self.id}: ends up to {seen} are taken note of")
        self.finished = [end for end in self.finished if end[0] > self.acknowledged]
        limit = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.finished and time.monotonic() < limit:
            ended = self.ended
            try:
                await asyncio.wait_for(ended.wait(), max(0.001, limit - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        if self.cut:
            return None
        rows, at = [], time.monotonic()
        for (task, run), state in self.active.items():
            share = 100
            if state["length"]:
                share = min(99, int((at - state["start"]) * 100 / state["length"]))
            rows.append([task, run, "", share, 0])
        # The rest is sent again: 500 at once.
        told = [list(end) for end in self.finished[:500]]
        answer = {"clock_ms": self.clock(), "active": rows, "finished": told}
        if len(told) == 500:
            await asyncio.sleep(LONG_ANSWER_S)
        return 200, answer

    def set_cut(self, cut):
        """Cuts the runner off from all machines of the system; it runs on."""
        self.record.say(f"{self.id} is {'cut off' if cut else 'reached again'},"
                        f" {len(self.active)} runs at work")
        self.cut = cut
        if not cut:
            # What was sent meanwhile is lost: its senders have given their channels up.
            self.http.reset()


# ---------------------------------------------------------------- entries


class Entry:
    """An `edge` machine with the role of deploy/system.toml."""

    def __init__(self, record, folder, net, number, count, store):
        self.record, self.number = record, number
        self.ip = f"127.{net[0]}.{net[1]}.{number + 1}"
        self.name = f"edge-{number + 1}"
        self.clients, self.readiness = f"{self.ip}:8161", f"{self.ip}:8167"
        self.log = os.path.join(folder, f"{self.name}.log")
        self.settings = os.path.join(folder, f"{self.name}.ini")
        fields = {
            "node_name": self.name, "region": "atl", "zone": ZONES[number % len(ZONES)],
            "ip": self.ip, "listen_addrs.frontend": self.clients,
            "listen_addrs.readiness": self.readiness, "internal_ports": "7720,7735",
            "seeds": ",".join(f"127.{net[0]}.{net[1]}.{i + 1}:8166" for i in range(count)),
            "limits.cpu_share": "0.25", "bounds.grace_s": "6", "platform.address": store,
            "advice": "", "cloud_api.address": "", "bounds.hold_max_ms": str(HOLD_MAX_MS),
            "bounds.drain_ms": "2000", "bounds.lease_ms": "3000", "bounds.status_s": "120"}
        with open(os.path.join(ROOT, "deploy", "entry.ini")) as file:
            text = file.read()
        # This installation has no bound on evacuations.
        text = re.sub(r"\{\{#bounds\.evacuate_ms\}\}.*?\{\{/bounds\.evacuate_ms\}\}", "", text)
        text = re.sub(r"\{\{([a-z_.]+)\}\}", lambda gap: fields[gap.group(1)], text)
        with open(self.settings, "w") as file:
            file.write(text)
        self.process = None

    async def start(self):
        env = {"ASHTILLER_SETTINGS": self.settings, "PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/tmp"), "LANG": "C"}
        log = open(self.log, "a")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/ashtiller"), "entry", cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.write(f"{self.name} starts, process {self.process.pid}")

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                found = re.search(r"VmRSS:\s+(\d+)", file.read())
            return int(found.group(1)) / 1024 if found else 0
        except OSError:
            return 0

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


ZONES = ["atl-dock", "atl-mill", "atl-vault"]
HOST = "nony24.example"
QUEUES = {
    # Prefix: priority, attempts, extension, aim, as on the pages.
    "/lohu930/": (0, 3, 1.5, 250),
    "/pufi791/": (2, 4, 2.0, 1000),
    "/pule252/": (0, 2, 2.2, 2500),
}


def configuration(version):
    routes = [{"name": f"r-{prefix.strip('/')}", "host": HOST, "prefix": prefix,
               "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": aim,
               "priority": priority, "service": "huvo11a", "max_attempts": attempts,
               "extension": extension}
              for prefix, (priority, attempts, extension, aim) in QUEUES.items()]
    services = [{"name": "huvo11a", "health_path": "/healthz", "max_conns": 64,
                 "protocol": "h1", "tls": False, "enforces_capacity": True, "headroom": False}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def pick_net():
    """A pair of numbers whose loopback addresses 127.a.b.1 and on have free ports."""
    seed = os.getpid()
    for step in range(200):
        net = (20 + (seed + step * 7) % 200, 1 + (seed // 200 + step) % 250)
        try:
            for number in range(1, 10):
                for port in (8161, 8166, 8167, 7720, 9464):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.{net[0]}.{net[1]}.{number}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Client:
    """A client of the system: the same id comes again after no answer, 502 or 504."""

    def __init__(self, record, entries):
        self.record, self.entries, self.turn = record, entries, 0

    def next_entry(self):
        self.turn += 1
        return self.entries[self.turn % len(self.entries)]

    async def ask(self, method, path, body=None, deadline_ms=3000):
        entry = self.next_entry()
        began = now()
        status, answer = await call(entry.clients, method, path,
                                    {"Host": HOST, "X-Deadline-Ms": deadline_ms}, body,
                                    deadline_ms / 1000)
        self.record.write(f"client: {method} {path} at {entry.name} -> {status} {answer}"
                          f" after {(now() - began) * 1000:.0f} ms")
        return status, answer

    async def submit(self, path, body, tries=5, pause=0.5):
        """True once the submission is accepted, False if all answers were refusals, None if it
        is not known."""
        unknown = False
        for _ in range(tries):
            status, _ = await self.ask("POST", path, body)
            if 200 <= status < 300:
                return True
            unknown |= status in (0, 502, 504)
            await asyncio.sleep(pause)
        return None if unknown else False


class World:
    """The stand-ins and processes of one case."""

    def __init__(self, folder, entries=3):
        self.record = Record(folder)
        self.count = entries
        self.runners, self.entries, self.temp = [], [], None

    async def begin(self):
        if not os.path.exists(os.path.join(ROOT, "target/release/ashtiller")):
            raise CannotRun("target/release/ashtiller is not built")
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.store = await Store(self.record).listen()
        self.store.put("op/config", configuration(7))
        net = pick_net()
        for number in range(self.count):
            entry = Entry(self.record, self.temp.name, net, number, self.count,
                          self.store.http.address)
            self.entries.append(entry)
            await entry.start()
        self.client = Client(self.record, self.entries)

    async def ready(self, limit=15):
        end = now() + limit
        while now() < end:
            states = [await call(entry.readiness, "GET", "/-/readyz", limit=1)
                      for entry in self.entries]
            queue = await self.client.ask("GET", "/lohu930/", deadline_ms=1000)
            if all(status == 200 for status, _ in states) and queue[0] == 200:
                self.record.say("all entries are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the entries did not become ready")

    async def end(self):
        for entry in self.entries:
            await entry.end()
        for runner in self.runners:
            for task in runner.tasks:
                task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for entry in self.entries:
                with open(entry.log) as source, \
                        open(os.path.join(keep, f"{entry.name}.log"), "w") as target:
                    target.write(source.read())
        if self.temp is not None:
            self.temp.cleanup()


def main(folder, case):
    """Runs `case(trouble)`, which returns True if the rule held, and exits with its verdict."""
    async def run():
        # Whoever stops the script ends the processes that it started as well.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(os.environ.get("TROUBLE", "1") != "0"), 115)
    try:
        held = asyncio.run(run())
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
    except (Exception, asyncio.CancelledError) as error:
        print(f"cannot run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)
