"""Stand-ins of the users' platform on loopback, as PROTOCOL.md has them: the store, the policy service, executors, and
the supervisor that starts the daemon by the deploy file, kills it beyond its memory and starts it again. One event loop
serves all of them; what happens is written to record.txt. No packages beyond Python's own."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
VALUE_BYTES = 1048576
HOLD_MAX_MS = 6000
GANG_TIMEOUT_S = 3.0
BEAT_S = 1.5
MOST_CHANNELS = 64    # of an executor


class Record:
    """record.txt: a line each for what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def line(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def serve_with(handler, open_writers=None, most_channels=None, hanging=()):
    """A connection handler: answers one request after the other; None as answer closes the channel. A channel beyond
    `most_channels` is reset. One that is `hanging` stays open for the server, as its peer has lost power."""
    async def serve(reader, writer):
        if most_channels is not None and len(open_writers) >= most_channels:
            return writer.transport.abort()
        if open_writers is not None:
            open_writers.add(writer)
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                answer = await handler(method, target, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            if open_writers is not None and writer not in hanging:
                open_writers.discard(writer)
            writer.close()
    return serve


async def call(address, method, path, body=None, host="a.example", deadline_ms=None, timeout=4.0):
    """One request on a connection of its own. Returns (status, value), or (None, reason) without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            if deadline_ms is not None:
                head += f"Cicadaspread-Deadline-Ms: {deadline_ms}\r\n"
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
            status = int(answer.split(b" ", 2)[1])
            size = re.search(rb"content-length: *(\d+)", answer, re.I)
            text = await reader.readexactly(int(size.group(1)) if size else 0)
            try:
                return status, json.loads(text) if text else None
            except ValueError:
                return status, None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__


# ---------------------------------------------------------------- the store

class Store:
    def __init__(self):
        self.items, self.leases, self.events = {}, {}, []
        self.revision, self.last_lease = 1, 1000
        self.changed = asyncio.Condition()

    def show(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created, "lease": lease}

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, key, self.show(key)))

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append((self.revision, key, {"key": key, "revision": self.revision, "deleted": True}))

    async def notify(self):
        del self.events[:-20000]
        async with self.changed:
            self.changed.notify_all()

    async def write(self, key, value):
        """A write of the operator or of an executor."""
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        await self.notify()

    async def remove(self, key):
        self.revision += 1
        self.drop(key)
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            ended = [n for n, (_, until) in self.leases.items() if until < time.monotonic()]
            for number in ended:
                await self.end(number)

    async def end(self, number):
        if self.leases.pop(number, None) is None:
            return
        keys = [k for k, item in self.items.items() if item[3] == number]
        self.revision += 1
        for key in keys:
            self.drop(key)
        await self.notify()

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        path = url.path
        await asyncio.sleep(0.004)
        if path.endswith("/kv-range"):
            return self.range(query)
        if path.endswith("/kv-key"):
            key = query.get("key", "")
            return (200, dict(self.show(key), storeRevision=self.revision)) if key in self.items else (404, {})
        if path.endswith("/kv-watch"):
            return await self.watch(query)
        if path.endswith("/kv-txn"):
            return await self.transact(json.loads(body))
        if path.endswith("/kv-lease"):
            self.last_lease += 1
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.leases[self.last_lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if "/kv-keep/" in path:
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlMs": int(ttl * 1000)}
        if "/kv-lease-end/" in path:
            await self.end(number)
            return 200, {}
        return 400, {}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys:
            if items and (len(items) == 500 or size > 1 << 20):
                break
            items.append(self.show(key))
            size += len(items[-1]["value"])
        return 200, {"items": items, "hasMore": len(items) < len(keys), "storeRevision": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        if self.events and len(self.events) >= 20000 and after < self.events[0][0]:
            return 410, {}
        while True:
            found, at = [], len(self.events)
            while at > 0 and self.events[at - 1][0] > after:
                at -= 1
                if self.events[at][1].startswith(prefix):
                    found.append(self.events[at][2])
            if found or time.monotonic() >= until:
                return 200, {"events": found[::-1], "storeRevision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass

    async def transact(self, txn):
        expected, writes, remove = txn.get("expected", []), txn.get("writes", []), txn.get("remove", [])
        values = [base64.b64decode(row["value"]) for row in writes]
        if len(expected) + len(writes) + len(remove) > 32 or any(len(v) > VALUE_BYTES for v in values):
            return 400, {}
        if any((self.items[r["key"]][1] if r["key"] in self.items else 0) != r["revision"] for r in expected):
            return 412, {"items": [self.show(r["key"]) for r in expected if r["key"] in self.items]}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.revision += 1
        for row, value in zip(writes, values):
            self.put(row["key"], value, row.get("lease", 0))
        for key in remove:
            self.drop(key)
        await self.notify()
        return 200, {"revision": self.revision}


# ---------------------------------------------------------------- executors

class Executor:
    """Runs what it is told to. `work` in a job's spec is how long its tasks work, in seconds; `gang` says of how many
    tasks a gang consists, which work only from when all of one run are present."""

    def __init__(self, platform, number, address, labels, capacity):
        self.platform, self.id, self.address = platform, f"i-{number:08x}", address
        self.labels, self.capacity = labels, capacity
        self.server, self.is_up = None, False

    async def start(self):
        self.born, self.begun = int(time.time() * 1000), time.monotonic()
        self.fence, self.lease_end, self.sequence, self.beats = 0, 0, 0, 0
        self.running, self.finished, self.over = {}, [], {}
        self.is_up = True
        self.event = asyncio.Event()
        self.writers, self.hanging = set(), set()
        self.server = await asyncio.start_server(serve_with(self.handle, self.writers, MOST_CHANNELS, self.hanging), *self.address)
        await self.beat()

    async def crash(self):
        """The process ends: nothing runs on, its channels are reset, and it sends nothing."""
        for run in list(self.running):
            self.platform.record.line("lost", self.id, run[0], run[1])
            self.running.pop(run)["timer"].cancel()
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def replace(self, number, silence_s):
        """A new life at the same address, under an id of its own; the former entry goes after three beats of silence."""
        former = self.id
        asyncio.get_running_loop().call_later(
            max(0, silence_s), lambda: self.platform.spawn(self.platform.store.remove(f"servers/{former}")))
        self.id = f"i-{number:08x}"
        await self.start()

    async def beat(self):
        self.beats += 1
        await self.platform.store.write(f"servers/{self.id}", {
            "service": "desk", "address": "%s:%d" % self.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock(),
            "born": self.born, "sequence": self.beats})

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    async def handle(self, method, target, headers, body):
        if not self.is_up:
            return None
        if method == "GET":
            return 200, {}
        if headers.get("cicadaspread-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        base = {"clockMs": self.clock(), "born": self.born}
        if order.get("fence", 0) < self.fence:
            return 409, dict(base, reason="fence")
        self.fence = order.get("fence", 0)
        if target.endswith("/run-start"):
            return self.run_start(order, base)
        run = (order.get("task"), order.get("run"))
        if target.endswith("/run-stop"):
            self.over[run[0]] = max(self.over.get(run[0], 0), run[1])
            if run in self.running:
                self.end(run, "stopped")
            return 200, base
        if target.endswith("/hold"):
            return await self.hold(order)
        return 400, base

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))
        asyncio.get_running_loop().call_later(max(0, self.lease_end - self.clock()) / 1000 + 0.002, self.lapse, self.born)

    def lapse(self, born):
        if self.is_up and born == self.born and self.clock() >= self.lease_end:
            for run in list(self.running):
                self.end(run, "lapsed")

    def run_start(self, order, base):
        run = (order["task"], order["run"])
        if run in self.running:
            return 200, base
        if order["deadlineMs"] <= self.clock():
            return 409, dict(base, reason="late")
        self.extend(order["deadlineMs"])
        if order["run"] <= self.over.get(order["task"], 0):
            return 409, dict(base, reason="old")
        work = re.search(r"work=([\d.]+)", order["spec"])
        seconds = float(work.group(1)) if work else 0.3
        gang = re.search(r"gang=(\d+)", order["spec"])
        wait = (GANG_TIMEOUT_S, "alone") if gang else (seconds, "done")
        timer = asyncio.get_running_loop().call_later(wait[0], self.end, run, wait[1])
        self.running[run] = {"timer": timer, "at": time.monotonic(), "seconds": seconds, "gang": None}
        if gang:
            self.join(run, int(gang.group(1)), seconds)
        self.platform.started(self, run)
        return 200, base

    def join(self, run, size, seconds):
        key = (run[0].rsplit(".", 1)[0], run[1])
        members = self.platform.gangs.setdefault(key, {})
        members[run] = self
        self.running[run]["gang"] = key
        if len(members) < size:
            return
        for member, executor in members.items():
            executor.running[member]["timer"].cancel()
            executor.running[member]["timer"] = asyncio.get_running_loop().call_later(seconds, executor.end, member, "done")

    def end(self, run, how):
        if run not in self.running:
            return
        ended = self.running.pop(run)
        ended["timer"].cancel()
        members = self.platform.gangs.get(ended["gang"], {})
        members.pop(run, None)
        # The members of a gang end well together; another end of one breaks the others.
        for member, executor in list(members.items()):
            asyncio.get_running_loop().call_soon(executor.end, member, "done" if how == "done" else "broken")
        self.over[run[0]] = max(self.over.get(run[0], 0), run[1])
        self.sequence += 1
        self.finished.append([self.sequence, run[0], run[1], how, ""])
        self.platform.ended(self, run, how)
        self.event.set()

    async def hold(self, order):
        self.finished = [end for end in self.finished if end[0] > order.get("ackSeq", 0)]
        if order.get("deadlineMs"):
            self.extend(order["deadlineMs"])
        if order.get("waitMs") and not self.finished:
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), min(2000, order["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.is_up:
            return None
        running = [[task, run, "", min(99, int(100 * (time.monotonic() - r["at"]) / r["seconds"])), 500]
                   for (task, run), r in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.finished[:500]}


# ---------------------------------------------------------------- all of it

class Node:
    """One machine of the system: its daemon is started by the deploy file's command and template."""

    def __init__(self, platform, number):
        self.platform, self.number = platform, number
        self.name, self.ip = f"front-a-{number}", f"127.{platform.net}.{number}"
        self.process, self.memory_kills, self.own_ends, self.peak = None, 0, 0, 0
        self.is_wanted = True
        self.front, self.ready = (self.ip, 8161), (self.ip, 8167)

    def settings(self):
        fields = {"nodeName": self.name, "region": "belt", "zone": "z-a", "listen.front": "%s:%d" % self.front,
                  "listen.ready": "%s:%d" % self.ready, "ip": self.ip, "internalPorts.0": 7720,
                  "platform.address": "%s:%d" % self.platform.store_address, "limits.cpuShare": 0.25, "limits.cores": 1,
                  "limits.maxFds": 4100, "limits.memoryMb": self.platform.memory_mb, "bounds.holdMaxMs": HOLD_MAX_MS,
                  "bounds.status_s": 120, "bounds.graceS": 6}
        text = open(os.path.join(ROOT, "platform", "entry.settings.template")).read()
        advice = '"advisor": "%s:%d",' % self.platform.advice_address if self.platform.has_advice else ""
        text = re.sub(r"\{\{#advice\}\}.*?\{\{/advice\}\}", advice, text)
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(fields[m.group(1)]), text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields[m.group(1)]), text)

    def start(self):
        path = os.path.join(self.platform.work, self.name + ".json")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.platform.work, self.name + ".log"), "a")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CICADASPREAD_NODE_FILE"] = path
        self.process = subprocess.Popen([self.platform.program], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0

    async def supervise(self):
        """A process beyond its memory is killed, and one that has ended is started again after a short delay."""
        while True:
            await asyncio.sleep(0.05)
            if not self.is_wanted:
                continue
            if self.process.poll() is not None:
                self.own_ends += 1
                self.platform.record.line("ended-by-itself", self.name, "status", self.process.returncode)
            else:
                memory = self.memory_mb()
                self.peak = max(self.peak, memory)
                if memory <= self.platform.memory_mb:
                    continue
                self.memory_kills += 1
                self.platform.record.line("killed-over-memory", self.name, f"{memory:.0f} MB of {self.platform.memory_mb}")
                self.process.kill()
                self.process.wait()
            await asyncio.sleep(0.5)
            self.start()

    async def is_ready(self):
        return (await call(self.ready, "GET", "/cicadaspread/ready", timeout=1))[0] == 200


class Platform:
    def __init__(self, folder, nodes=3, executors=8, memory_mb=260, capacity=None, queues=None, labels=None):
        self.folder, self.memory_mb = folder, memory_mb
        self.record = Record(folder)
        self.program = os.path.join(ROOT, "target", "cicada-node")
        if not os.access(self.program, os.X_OK):
            print("target/cicada-node is missing: run the build of the deploy file first")
            sys.exit(2)
        self.work = tempfile.mkdtemp(prefix="cicada-review-")
        self.net = f"{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.store, self.tasks = Store(), []
        self.store_address, self.advice_address = (f"127.{self.net}.201", 8169), (f"127.{self.net}.202", 8169)
        self.queues = queues or [{"name": "r-a", "prefix": "/jobs/", "priority": 1, "maxAttempts": 4}]
        self.has_advice = any("advice" in queue for queue in self.queues)
        self.nodes = [Node(self, n + 1) for n in range(nodes)]
        capacity = capacity or {"cpu": 64000, "memMb": 262144, "gpu": 0}
        self.executors = [Executor(self, n, (f"127.{self.net}.{100 + n}", 8080), ["a", f"r1-{n // 8}"], capacity) for n in range(executors)]
        self.starts, self.ends, self.gangs, self.version = [], [], {}, 0
        self.on_start = None

    def owner(self):
        """The node that the row of the first cell names."""
        row = self.store.items.get("cicada/ctl/cell/0")
        return next((node for node in self.nodes if row and node.name.encode() in row[0]), None)

    async def lose_power(self, node, seconds):
        """The machine is gone without a word: the other ends of its channels at the executors stay open. Only the owner
        has channels there."""
        for executor in self.executors:
            executor.hanging |= executor.writers
        node.is_wanted = False
        node.process.kill()
        node.process.wait()
        await asyncio.sleep(seconds)
        node.start()
        node.is_wanted = True

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def started(self, executor, run):
        self.starts.append((self.record.now(), executor.id, run))
        self.record.line("start", executor.id, run[0], run[1])
        if self.on_start:
            self.on_start(executor, run)

    def ended(self, executor, run, how):
        self.ends.append((self.record.now(), executor.id, run, how))
        self.record.line("end", executor.id, run[0], run[1], how)

    async def configure(self):
        self.version += 1
        routes = [dict({"hostname": "a.example", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1200,
                        "service": "desk", "stretch": 2.2}, **queue) for queue in self.queues]
        await self.store.write("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def beats(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for executor in self.executors:
                if executor.is_up:
                    await executor.beat()

    async def start(self):
        await asyncio.start_server(serve_with(self.store.handle), *self.store_address, limit=1 << 22)
        self.spawn(self.store.expire())
        await self.configure()
        for executor in self.executors:
            await executor.start()
        self.spawn(self.beats())
        for node in self.nodes:
            node.start()
            self.spawn(node.supervise())
        until = time.monotonic() + 20
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > until:
                print("the daemons don't get ready")
                raise SystemExit(2)
            await asyncio.sleep(0.2)
        self.record.line("ready")

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


def play(platform, scenario, limit=115):
    """Runs the scenario, which returns 1 if the rule was broken and 0 if it held; ends all processes."""
    async def main():
        try:
            await platform.start()
            return await asyncio.wait_for(scenario(platform), limit)
        finally:
            for task in platform.tasks:
                task.cancel()
            platform.stop()
    try:
        status = asyncio.run(main())
    except (OSError, asyncio.TimeoutError) as error:
        print("the case could not run:", repr(error))
        status = 2
    platform.record.line("exit", status)
    if os.environ.get("KEEP"):
        print("logs are kept in", platform.work)
    else:
        subprocess.run(["rm", "-rf", platform.work])
    return status
