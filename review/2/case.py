"""An idle executor crashes and starts again under its id, and a job comes before its new entry is read."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import grid as g

EXECUTORS = 8
JOBS = 4
# The site file says under [discovery]: beat_ms = 1500, lag_ms = 800. A new boot registers this long after its start.
REGISTERED_AFTER_S = 0.4
DOWN_S = 0.3


async def play(grid, trouble):
    for i in range(EXECUTORS):
        grid.add_executor(f"x-{i}", "service-a", f"rack-{i % 2}")
    grid.configure([g.route("queue-a", "/jobs/", "service-a")])
    await grid.begin(3)
    await asyncio.sleep(1)
    # One task on each executor.
    job = {"spec": "text", "steps": [{"count": EXECUTORS, "cpu": 4000, "memMb": 1000, "estimateMs": 800, "maxPerServer": 1}]}
    ids = []
    for number in range(JOBS):
        executor = grid.executors[number % EXECUTORS]
        if trouble:
            executor.crash()
            grid.record.write(f"crash {executor.id}")
            await asyncio.sleep(DOWN_S)
            await executor.boot()
            grid.record.write(f"boot {executor.id} born {executor.born}")
            asyncio.get_running_loop().call_later(REGISTERED_AFTER_S, executor.register)
        ids.append(f"{number + 1:016x}")
        status, _ = await g.call(grid.entries[number % 3].callers, "POST", "/jobs/" + ids[-1], job)
        grid.record.write(f"submit {ids[-1]} answered {status}")
        await asyncio.sleep(4)
    for id in ids:
        status, body = await g.call(grid.entries[0].callers, "GET", "/jobs/" + id)
        grid.record.write(f"state {id} answered {status} {body}")


g.main(FOLDER, play)
