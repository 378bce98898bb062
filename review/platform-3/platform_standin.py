#!/usr/bin/env python3
"""A stand-in for the users' platform: its store, and executors, on loopback ports, as the pages publish them.

platform_standin.py --port P --executors N [--racks R] [--cpu MILLIS] [--mem MB] [--work MS]: the store is at P, the
executors at P+1 and on. Two queues, /jobs/ and /reports/, have no advice. What an executor starts and ends, and what the
store refuses, is written to standard output, one line each with the milliseconds since the start.

A job whose spec is {"gang": N, "work": MS} has a gang of N tasks that save their progress. The members of a run begin
when all are present; each has to carry the same checkpoint, as the pages say, and those that don't are not one gang: they
wait, and end as `alone` after --gang-timeout. A POST of {"task": NAME, "forMs": MS} to /crash at P+149 has the
executor crash that runs the task: it forgets all, is silent for that time (with "ends": its port is closed instead), and
starts again under its id, with "kind" as another kind. Its entry shows that "entryAfterMs" later, or later than the return
of the store. A POST of {"forMs": MS} to /outage has the store answer 503 for that time.
"""
import argparse
import asyncio
import base64
import json
import time
import uuid
from urllib.parse import parse_qs, unquote, urlsplit

VALUE_BYTES = 1048576  # `valueBytes` of the settings on the pages
KEY_BYTES = 200
MOST_ENTRIES = 32
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
HOLD_MAX_MS = 6000
STOP_MS = 100
T0 = time.monotonic()


def executor_id(number):
    """An id in the form of a UUID, which is the same in each run."""
    return str(uuid.uuid5(uuid.NAMESPACE_OID, str(number)))


def note(*words):
    print(f"{int((time.monotonic() - T0) * 1000):6d}", *words, flush=True)


class Server:
    """HTTP/1.1 on one port; `handler` gets method, path, query and body, and returns a status and a JSON object."""

    def __init__(self, handler):
        self.handler, self.writers, self.listener = handler, set(), None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                length, expect = 0, ""
                while True:
                    header = (await reader.readline()).decode().strip()
                    if not header:
                        break
                    name, value = header.split(":", 1)
                    if name.lower() == "content-length":
                        length = int(value)
                    if name.lower() == "cicadaspread-expect-instance":
                        expect = value.strip()
                body = await reader.readexactly(length) if length else b""
                parts = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(parts.query).items()}
                result = await self.handler(method, unquote(parts.path), query, body, expect)
                if result is None:
                    await asyncio.sleep(3600)
                status, answer = result
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def listen(self, port):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 24)

    def end(self):
        """As when the process dies: the port has no listener, and all channels are reset."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    def __init__(self, options):
        self.options = options
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.next_lease, self.down_until = 1, 1, 0
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        self.apply(key, value, lease)
        self.wake()

    def apply(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created, "lease": lease}
        self.events.append((self.revision, key, dict(self.items[key])))

    def erase(self, key):
        if self.items.pop(key, None):
            self.events.append((self.revision, key, {"key": key, "revision": self.revision, "deleted": True}))

    def wake(self):
        """Lets the watches that wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [l for l, (end, _) in self.leases.items() if end < now]:
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.erase(key)
            self.wake()

    async def handle(self, method, path, query, body, expect):
        await asyncio.sleep(0.004)
        if time.monotonic() < self.down_until:
            return 503, {}
        name = path.removeprefix("/cicadaspread/")
        if name == "kv-txn":
            return self.transact(json.loads(body))
        if name == "kv-range":
            return self.range(query)
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {"storeRevision": self.revision})
        if name == "kv-lease":
            ttl = max(1000, min(600000, json.loads(body)["ttlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if name.startswith("kv-keep/"):
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][1]
            self.leases[number] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": number, "ttlMs": ttl}
        if name.startswith("kv-lease-end/"):
            self.end(number)
            return 200, {}
        return 404, {}

    def transact(self, txn):
        expected, writes, remove = txn.get("expected", []), txn.get("writes", []), txn.get("remove", [])
        if len(expected) + len(writes) + len(remove) > MOST_ENTRIES:
            note("store refuses", "entries", len(expected) + len(writes) + len(remove))
            return 400, {"error": "too many entries"}
        values = [(row["key"], base64.b64decode(row["value"]), row.get("lease", 0)) for row in writes]
        for key, value, _ in values:
            if len(key) > KEY_BYTES or len(value) > VALUE_BYTES:
                note("store refuses", key, "value of", len(value), "bytes")
                return 400, {"error": "the value is too long"}
        if any(key.startswith(("op/", "servers/")) for key in [v[0] for v in values] + remove):
            return 403, {}
        current = [self.items[row["key"]] for row in expected if row["key"] in self.items]
        if any(row["revision"] != self.items.get(row["key"], {"revision": 0})["revision"] for row in expected):
            return 412, {"items": current}
        if any(lease and lease not in self.leases for _, _, lease in values):
            return 404, {}
        self.revision += 1
        for key, value, lease in values:
            self.apply(key, value, lease)
        for key in remove:
            self.erase(key)
        self.wake()
        return 200, {"revision": self.revision}

    def range(self, query):
        items, size, more = [], 0, False
        for key in sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", "")):
            if len(items) == PAGE_ITEMS or size > PAGE_BYTES:
                more = True
                break
            items.append(self.items[key])
            size += len(self.items[key]["value"])
        return 200, {"items": items, "hasMore": more, "storeRevision": self.revision}

    async def watch(self, query):
        down_until = self.down_until
        until, after = time.monotonic() + int(query["waitMs"]) / 1000, int(query["after"])
        while True:
            events = [event for revision, key, event in self.events if revision > after and key.startswith(query["prefix"])]
            left = until - time.monotonic()
            if down_until != self.down_until:
                return 503, {}
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Gang:
    """The members of one run of a gang, on all executors."""

    running = {}

    def __init__(self, key, spec, options):
        self.key, self.width, self.work, self.options = key, spec["gang"], spec["work"], options
        self.members = {}
        self.begun_at, self.resumed_at = None, 0

    @classmethod
    def of(cls, run, spec, options):
        key = (run[0].rsplit(".", 1)[0], run[1])
        return cls.running.setdefault(key, cls(key, spec, options))

    def join(self, executor, run, checkpoint):
        self.members[run[0]] = (executor, run, checkpoint)
        loop = asyncio.get_running_loop()
        checkpoints = {member[2] for member in self.members.values()}
        if len(self.members) == self.width and len(checkpoints) == 1:
            self.begun_at, self.resumed_at = time.monotonic(), int(checkpoint or "0", 16)
            note("gang begins", *self.key, "at", checkpoint or "the start")
            loop.call_later((self.work - self.resumed_at) / 1000, self.end_all, "done")
        else:
            if len(self.members) == self.width:
                note("gang can't begin", *self.key, "its members carry", *sorted(repr(value) for value in checkpoints))
            loop.call_later(self.options.gang_timeout / 1000, self.give_up, executor, run)

    def saved(self, checkpoint):
        if self.begun_at is None:
            return checkpoint
        step = self.options.checkpoint_interval
        progress = self.resumed_at + int((time.monotonic() - self.begun_at) * 1000) // step * step
        return f"{progress:016x}" if progress else ""

    def give_up(self, executor, run):
        if self.begun_at is None and run[0] in self.members:
            executor.finish(run, "alone")

    def end_all(self, how):
        for executor, run, _ in list(self.members.values()):
            executor.finish(run, how)

    def leave(self, run):
        self.members.pop(run[0], None)
        if self.begun_at is not None:
            self.end_all("broken")


class Executor:
    def __init__(self, name, options, kind):
        self.name, self.options, self.dark_until, self.kind = name, options, 0, kind
        self.reset()

    def reset(self):
        self.begun, self.born = time.monotonic(), int(time.time() * 1000)
        self.fence, self.lease, self.sequence = 0, 0, 0
        self.runs, self.highest, self.ended = {}, {}, []
        self.gangs = {}
        self.changed = asyncio.Event()

    def crash(self, for_ms):
        note("crash", self.name)
        gangs, self.gangs = self.gangs, {}
        for run in self.runs:
            note("end", run[0], run[1], self.name, "lost")
        self.reset()
        self.dark_until = time.monotonic() + for_ms / 1000
        for run, (gang, _) in gangs.items():
            gang.leave(run)

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    def answer(self, **more):
        return {"clockMs": self.clock(), "born": self.born, **more}

    async def handle(self, method, path, query, body, expect):
        if time.monotonic() < self.dark_until:
            return None
        if expect and expect != self.name:
            return 421, {}
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = order.get("fence", 0)
        name = path.removeprefix("/cicadaspread/")
        if name == "run-start":
            return self.start(order)
        if name == "run-stop":
            run = (order["task"], order["run"])
            self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
            if run in self.runs:
                asyncio.get_running_loop().call_later(STOP_MS / 1000, self.finish, run, "stopped")
            return 200, self.answer()
        if name != "hold":
            return 404, {}
        self.ended = [row for row in self.ended if row[0] > order.get("ackSeq", 0)]
        self.extend(order.get("deadlineMs", 0))
        until = time.monotonic() + min(2000, order.get("waitMs", 0)) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if time.monotonic() < self.dark_until:
            return None
        running = [[task, run, self.saved((task, run)), 10, 0] for task, run in self.runs]
        return 200, self.answer(running=running, finished=self.ended[:500])

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    def start(self, order):
        run = (order["task"], order["run"])
        if run in self.runs:
            return 200, self.answer()
        if order["deadlineMs"] <= self.clock():
            return 409, self.answer(reason="late")
        self.extend(order["deadlineMs"])
        if run[1] <= self.highest.get(run[0], 0):
            return 409, self.answer(reason="old")
        self.runs[run] = time.monotonic()
        note("start", run[0], run[1], self.name, order.get("checkpoint", "") or "-", f"kind={self.kind}", order["spec"][:40])
        if order["spec"].startswith("{"):
            gang = Gang.of(run, json.loads(order["spec"]), self.options)
            self.gangs[run] = (gang, order.get("checkpoint", ""))
            gang.join(self, run, order.get("checkpoint", ""))
            return 200, self.answer()
        asyncio.get_running_loop().call_later(self.options.work / 1000, self.finish, run, "done")
        return 200, self.answer()

    def saved(self, run):
        gang, checkpoint = self.gangs.get(run, (None, ""))
        return gang.saved(checkpoint) if gang else ""

    def finish(self, run, how):
        if self.runs.pop(run, None) is None:
            return
        saved = "" if how == "done" else self.saved(run)
        gang, _ = self.gangs.pop(run, (None, ""))
        self.sequence += 1
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        self.ended.append([self.sequence, run[0], run[1], how, saved])
        note("end", run[0], run[1], self.name, how, saved)
        self.changed.set()
        self.changed = asyncio.Event()
        if gang and how != "alone":
            gang.members.pop(run[0], None)
            if how not in ("done", "broken"):
                gang.leave(run)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if self.clock() >= self.lease:
                for run in list(self.runs):
                    self.finish(run, "lapsed")


def register(store, executor, port, number, options):
    store.put(f"servers/{executor.name}", json.dumps({
        "service": "s", "address": f"127.0.0.1:{port}", "zone": "z", "version": "v1", "slots": 8, "state": "ready",
        "coldRemainingMs": 0, "sequence": 1, "born": executor.born, "labels": [executor.kind, f"r{number % options.racks}"],
        "capacity": {"cpu": options.cpu, "memMb": options.mem, "gpu": 0}}).encode())


async def main():
    parser = argparse.ArgumentParser()
    for name, default in (("port", 0), ("executors", 6), ("racks", 2), ("cpu", 64000), ("mem", 262144), ("work", 300), ("gang-timeout", 3000), ("checkpoint-interval", 500)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--kinds", default="a")
    options = parser.parse_args()
    store = Store(options)
    await Server(store.handle).listen(options.port)
    tasks = [asyncio.create_task(store.expire())]
    executors = []
    for i in range(options.executors):
        executor = Executor(executor_id(i), options, options.kinds[i % len(options.kinds)])
        port = options.port + 1 + i
        server = Server(executor.handle)
        await server.listen(port)
        tasks.append(asyncio.create_task(executor.watch_lease()))
        executors.append((executor, port, i, server))
        register(store, executor, port, i, options)

    route = {"name": "r-a", "hostname": "a.example", "prefix": "/jobs/", "kind": "non_idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 1200, "priority": 1, "service": "s", "maxAttempts": 3, "stretch": 2.2}
    store.put("op/config", json.dumps({"version": 7, "routes": [route, {**route, "name": "r-b", "prefix": "/reports/"}], "services": [{"name": "s"}], "limits": {}}).encode())

    async def control(method, path, query, body, expect):
        order = json.loads(body)
        if path == "/outage":
            note("store down for", order["forMs"])
            store.down_until = time.monotonic() + order["forMs"] / 1000
            store.wake()
            return 200, {}
        executor, port, number, server = next(row for row in executors if any(run[0] == order["task"] for run in row[0].runs))
        executor.crash(order["forMs"])
        if order.get("ends"):
            server.end()

        async def restart():
            await asyncio.sleep(order["forMs"] / 1000)
            executor.reset()
            executor.kind = order.get("kind", executor.kind)
            if order.get("ends"):
                await server.listen(port)
            note("back", executor.name, "of kind", executor.kind)
            # While the store is down, the entry waits for its return.
            down = max(0, store.down_until - time.monotonic())
            await asyncio.sleep(down + order.get("entryAfterMs", 0) / 1000)
            register(store, executor, port, number, options)
            note("entry of", executor.name, "shows kind", executor.kind)

        tasks.append(asyncio.create_task(restart()))
        return 200, {}

    await Server(control).listen(options.port + 149)
    note("listening", options.port)
    await asyncio.gather(*tasks)


asyncio.run(main())
