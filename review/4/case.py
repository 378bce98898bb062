"""A rack of a small service is lost for good, and accepted jobs of that service never start although its other rack is idle."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import grid as g

PER_RACK = 8
LARGE_RACKS = [f"rack-{i}" for i in range(13)]
SMALL_RACKS = ["rack-13", "rack-14"]
JOBS = 24
FINISH_S = 14


async def play(grid, trouble):
    for rack in LARGE_RACKS + SMALL_RACKS:
        for i in range(PER_RACK):
            grid.add_executor(f"x-{rack}-{i}", "service-small" if rack in SMALL_RACKS else "service-large", rack)
    grid.configure([g.route("queue-large", "/large/", "service-large"), g.route("queue-small", "/small/", "service-small")])
    # The machines of the grown sites have 0.12 to 0.5 cores.
    await grid.begin(3, processor_share=0.12)
    await asyncio.sleep(3)
    if trouble:
        for executor in grid.executors:
            if executor.rack == SMALL_RACKS[0]:
                executor.crash()
                grid.record.write(f"crash {executor.id}")
        # After three heartbeats of silence the platform removes the entries.
        await asyncio.sleep(10)
    job = {"spec": "text", "steps": [{"count": 2, "cpu": 4000, "memMb": 1000, "estimateMs": 800}]}
    accepted = {}
    for number in range(JOBS):
        queue = "/small/" if number % 2 == 0 else "/large/"
        id = f"{number + 1:016x}"
        status, _ = await g.call(grid.entries[number % 3].callers, "POST", queue + id, job)
        grid.record.write(f"submit {queue}{id} answered {status}")
        if status == 200:
            accepted[id] = queue
        await asyncio.sleep(0.2)
    small = {id: (lambda id=id: not any(run.task.startswith(id + ".") for _, run, how in grid.ends if how == "done"))
             for id, queue in accepted.items() if queue == "/small/"}
    await grid.watch_idle(small, "service-small", FINISH_S)
    for id, queue in accepted.items():
        status, body = await g.call(grid.entries[0].callers, "GET", queue + id)
        grid.record.write(f"state {queue}{id} answered {status} {body}")



g.main(FOLDER, play)
