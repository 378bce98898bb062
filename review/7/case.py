"""A gang of a hundred small tasks comes, which fit on one executor. An executor takes 64 channels. Nothing else happens.
What is judged: the accepted job runs and completes. With TROUBLE=0 the gang has forty tasks."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import MOST_CHANNELS, Platform, call, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASKS = 100 if TROUBLE else 40
JOB = "00000000000000b1"
WATCHED_S = 60


async def scenario(platform):
    body = {"spec": f"work=2 gang={TASKS}",
            "steps": [{"count": TASKS, "cpu": 500, "memMb": 100, "estimateMs": 2000, "gang": True}]}
    status, _ = await call(platform.nodes[0].front, "POST", "/jobs/" + JOB, body, deadline_ms=3000)
    platform.record.line("submit", JOB, status)
    if status != 200:
        return 2
    state, most, begun = None, 0, platform.record.now()
    while platform.record.now() - begun < WATCHED_S:
        await asyncio.sleep(1)
        most = max(most, sum(len(executor.running) for executor in platform.executors))
        status, value = await call(platform.nodes[1].front, "GET", "/jobs/" + JOB, deadline_ms=3000)
        platform.record.line("state", status, value, "channels", *[len(executor.writers) for executor in platform.executors])
        state = value["state"] if status == 200 else None
        if state in ("completed", "failed"):
            break
    print(f"a gang of {TASKS}, executors with {MOST_CHANNELS} channels: after {platform.record.now() - begun:.0f} s {state}; "
          f"starts carried out: {len(platform.starts)}; most at once, seen each second: {most}; "
          f"ends `alone`: {sum(1 for end in platform.ends if end[3] == 'alone')}")
    broken = state != "completed"
    print("BROKEN" if broken else "held")
    return 1 if broken else 0


sys.exit(play(Platform(FOLDER), scenario))
