"""A service loses its executors for good, and late steps of another service's jobs are never placed although its executors are idle."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import grid as g

LARGE = 56
SMALL = 8
SMALL_JOBS = 240
SMALL_PER_S = 34
LARGE_JOBS = 6
FINISH_S = 14
SMALL_ESTIMATE_MS = 680
LARGE_ESTIMATE_MS = 1900
# The site file gives this kind of request work_ms = { mean = 1900.0, max = 20000.0, tail = 0.03, tail_x = 7.0 }.
LARGE_WORK_S = 18


async def play(grid, trouble):
    for i in range(LARGE):
        grid.add_executor(f"x-{i}", "service-large", f"rack-{i // 8}")
    for i in range(SMALL):
        grid.add_executor(f"y-{i}", "service-small", "rack-small")
    tally = g.route("queue-tally", "/tally/", "service-large", priority=2)
    tally["targetLatencyMs"], tally["stretch"] = 3000, 4.0
    stock = g.route("queue-stock", "/stock/", "service-small", priority=0)
    stock["targetLatencyMs"], stock["stretch"] = 600, 1.5
    grid.configure([tally, stock])
    grid.default_work = SMALL_ESTIMATE_MS / 1000
    await grid.begin(3)
    await asyncio.sleep(2)

    large = {}
    step = {"count": 2, "cpu": 4000, "memMb": 1000, "estimateMs": LARGE_ESTIMATE_MS}
    for number in range(LARGE_JOBS):
        id = f"{number + 1:016x}"
        # The first step is of the long tail; what comes after it takes as long as estimated.
        grid.work_seconds[id] = LARGE_WORK_S
        status, _ = await g.call(grid.entries[number % 3].callers, "POST", "/tally/" + id, {"spec": "text", "steps": [step, dict(step, after=[0])]})
        grid.record.write(f"submit /tally/{id} answered {status}")
        if status == 200:
            large[id] = g.now()
    if trouble:
        for executor in grid.executors[LARGE:]:
            executor.crash()
            grid.record.write(f"crash {executor.id}, for good")

    async def submit_small(number):
        id = f"f{number:015x}"
        status, _ = await g.call(grid.entries[number % 3].callers, "POST", "/stock/" + id,
                                 {"spec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": SMALL_ESTIMATE_MS}]})
        grid.record.write(f"submit /stock/{id} answered {status}")

    calls = []
    for number in range(SMALL_JOBS):
        calls.append(asyncio.create_task(submit_small(number)))
        await asyncio.sleep(1 / SMALL_PER_S)
    await asyncio.gather(*calls)
    def is_due(id):
        done = [run.task for _, run, how in grid.ends if how == "done" and run.task.startswith(id + ".")]
        return sum(task.startswith(id + ".0.0.") for task in done) == 2 and sum(task.startswith(id + ".0.1.") for task in done) < 2

    seconds = max(0, LARGE_WORK_S + 2 - (g.now() - min(large.values()))) + FINISH_S
    await grid.watch_idle({id: (lambda id=id: is_due(id)) for id in large}, "service-large", seconds)
    for id in large:
        status, body = await g.call(grid.entries[0].callers, "GET", "/tally/" + id)
        grid.record.write(f"state /tally/{id} answered {status} {body}")



g.main(FOLDER, play)
