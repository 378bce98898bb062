"""Another writer leaves an entry among the executors' that can't be read, and one process of the system after another ends by it."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import grid as g

JOBS = 6
# "A process that exits or is killed is restarted after a short delay".
RESTART_DELAY_S = 1
WATCHED_S = 20
FINISH_S = 14
# Well-formed JSON that doesn't fit into a double: JSON's grammar has no largest exponent. The address has no listener.
ENTRY = '{"service":"service-a","address":"127.0.0.1:9","zone":"zone-a","state":"ready","coldRemainingMs":1e999}'


class Supervisor:
    """Starts processes that end by themselves again, as the platform does."""

    def __init__(self, grid):
        self.grid, self.is_over, self.ends = grid, False, {}
        self.watchers = [asyncio.create_task(self.watch(entry)) for entry in grid.entries]

    async def watch(self, entry):
        while True:
            status = await entry.process.wait()
            if self.is_over:
                return
            self.grid.record.write(f"{entry.name} ended by itself with status {status}")
            self.ends[entry.name] = self.ends.get(entry.name, 0) + 1
            await asyncio.sleep(RESTART_DELAY_S)
            if self.is_over:
                return
            await entry.start()
            self.grid.record.write(f"{entry.name} was started again")

    async def end(self):
        self.is_over = True
        while not all(watcher.done() for watcher in self.watchers):
            for entry in self.grid.entries:
                entry.signal(signal.SIGKILL)
            await asyncio.sleep(0.05)


async def play(grid, trouble):
    for i in range(8):
        grid.add_executor(f"x-{i}", "service-a", f"rack-{i % 2}")
    grid.configure([g.route("queue-a", "/jobs/", "service-a")])
    grid.default_work = 4
    await grid.begin(3)
    await asyncio.sleep(1)
    step = {"count": 2, "cpu": 4000, "memMb": 1000, "estimateMs": 4000}
    job = {"spec": "text", "steps": [step, dict(step, after=[0])]}
    accepted = []
    for number in range(JOBS):
        id = f"{number + 1:016x}"
        status, _ = await g.call(grid.entries[number % 3].callers, "POST", "/jobs/" + id, job)
        grid.record.write(f"submit {id} answered {status}")
        if status == 200:
            accepted.append(id)
    await asyncio.sleep(1)
    supervisor = Supervisor(grid)
    try:
        await watch_jobs(grid, trouble, accepted)
    finally:
        await supervisor.end()
    often = [name for name, count in supervisor.ends.items() if count >= 3]
    if len(often) >= 2:
        grid.record.break_rule(f"Fault: processes ended by themselves, {supervisor.ends}")


def count_done(grid, id, step):
    return len({run.task for _, run, how in grid.ends if run.task.startswith(f"{id}.0.{step}.") and how == "done"})


async def watch_jobs(grid, trouble, accepted):
    if trouble:
        grid.store.put("servers/other-writer", ENTRY)
        grid.record.write(f"another writer stores servers/other-writer: {ENTRY}")
    await asyncio.sleep(WATCHED_S)
    jobs = {id: (lambda id=id: count_done(grid, id, 0) == 2 and count_done(grid, id, 1) < 2) for id in accepted}
    await grid.watch_idle(jobs, "service-a", FINISH_S)
    for id in accepted:
        answers = []
        # A client's retries reach other entries.
        for entry in grid.entries:
            answers.append(await g.call(entry.callers, "GET", "/jobs/" + id, timeout=3))
            grid.record.write(f"state {id} at {entry.name} answered {answers[-1]}")
            if answers[-1][0] == 200:
                break
        if all(status not in (200, 410) for status, _ in answers):
            grid.break_lost(id, f"asked for {FINISH_S} s after the end of the traffic, it gets no answer: {answers}")
        elif answers[-1][0] == 410:
            grid.break_lost(id, "it is said not to be known")



g.main(FOLDER, play)
