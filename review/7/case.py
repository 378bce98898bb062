"""The owner of the jobs loses power eight times, five seconds apart, and is back 3.5 s later each time. An executor takes 64
channels, and those of a machine without power stay open at its end. What is judged, from 14 s after the end of the traffic:
whether an accepted job has nothing running for 3 s though the turn of its tasks has come, there is capacity for them twice
over and under half of all is in use."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import Platform, call, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOSSES, GAP_S, DARK_S = 8, 5.0, 3.5
TASK_CPU, EXECUTOR_CPU = 2000, 64000
FINISH_S, WATCHED_S = 14, 6


async def traffic(platform, accepted, seconds):
    """Eight jobs a second of up to twenty tasks; each is sent again under its id until it is answered, five times at most."""
    async def hand_in():
        job = f"{random.getrandbits(64):016x}"
        tasks = random.randint(1, 20)
        body = {"spec": "work=0.7", "steps": [{"count": tasks, "cpu": TASK_CPU, "memMb": 1000, "estimateMs": 700}]}
        for _ in range(5):
            status, _ = await call(random.choice(platform.nodes).front, "POST", "/jobs/" + job, body, deadline_ms=3000)
            platform.record.line("submit", job, tasks, status)
            if status == 200:
                accepted.append(job)
                return
            await asyncio.sleep(0.5)
    begun, tasks = platform.record.now(), []
    while platform.record.now() - begun < seconds:
        tasks.append(platform.spawn(hand_in()))
        await asyncio.sleep(0.125)
    await asyncio.gather(*tasks)


async def lose_owners(platform):
    await asyncio.sleep(3)
    for _ in range(LOSSES):
        node = platform.owner()
        if node and node.process.poll() is None:
            platform.record.line("power-lost", node.name, "channels", *[len(e.writers) for e in platform.executors])
            platform.spawn(platform.lose_power(node, DARK_S))
        await asyncio.sleep(GAP_S)


async def state_of(platform, job):
    for _ in range(4):
        status, value = await call(random.choice(platform.nodes).front, "GET", "/jobs/" + job, deadline_ms=3000)
        if status is not None and status < 500:
            return value["state"] if status == 200 else status
    return None


async def scenario(platform):
    accepted = []
    work = [platform.spawn(traffic(platform, accepted, 3 + LOSSES * GAP_S))]
    if TROUBLE:
        work.append(platform.spawn(lose_owners(platform)))
    await asyncio.gather(*work)
    await asyncio.sleep(FINISH_S)
    states = dict(zip(accepted, await asyncio.gather(*[state_of(platform, job) for job in accepted])))
    idle = {job: 0.0 for job, state in states.items() if state in ("queued", "running")}
    longest = dict(idle)
    for _ in range(WATCHED_S * 10):
        await asyncio.sleep(0.1)
        running = {task.split(".")[0] for e in platform.executors for task, _ in e.running}
        used = [TASK_CPU * len(e.running) for e in platform.executors]
        has_room = sum((EXECUTOR_CPU - u) // TASK_CPU for u in used) >= 40 and sum(used) * 2 < EXECUTOR_CPU * len(used)
        for job in idle:
            idle[job] = idle[job] + 0.1 if has_room and job not in running else 0.0
            longest[job] = max(longest[job], idle[job])
    ended = {job for job in idle if await state_of(platform, job) not in ("queued", "running")}
    stuck = [job for job in idle if longest[job] >= 3.0 and job not in ended]
    for job in stuck:
        platform.record.line("nothing-running", job, f"{longest[job]:.1f} s")
    print(f"accepted: {len(accepted)}; not ended {FINISH_S} s after the traffic: {len(idle)}; of these with nothing running for 3 s: {len(stuck)}; "
          f"channels at the executors: {[len(e.writers) for e in platform.executors]}")
    print("BROKEN" if stuck else "held")
    return 1 if stuck else 0


sys.exit(play(Platform(FOLDER), scenario))
