"""A write of a machine's entry whose answer is lost and that is done late removes the entry for good, and other regions don't find the machine.

Two regions with one machine each. The replicas of the service are in omaheke, the clients in khomas, so that each request passes both machines.
All processes are killed and start again while the store loses answers: the first write of the entry of omaheke's machine is not answered and
done 2.5 s later. By then the machine has written its entry again under another lease. The late write puts it back under the first lease, which
nobody renews, and the entry is removed when that lease ends.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world_3 import BOUNDS, HOST, Replica, call, configuration, plain_service, route, run_case, run_plain  # noqa: E402

LATE_S = 2.5
REQUEST_PAUSE_S = 0.05
CLIENTS = 4
BEFORE_S = 8
AFTER_S = 30


async def play(world, hasTrouble):
    world.operate("op/config", configuration(1, [route("seats", "/seats/", "idempotent", "barnbook")], [plain_service("barnbook")]))
    for number in range(2):
        await Replica(world.record, world.store, "i-%d" % number, "barnbook", "omaheke-a", run_plain, slots=6).start("127.0.2.%d" % (number + 1))
    near = world.addGateway("front-khomas-1", "khomas-a", "127.0.1.1")
    far = world.addGateway("front-omaheke-1", "omaheke-a", "127.0.1.2")
    await world.awaitReady()
    await asyncio.sleep(2)
    loop = asyncio.get_running_loop()
    answers = []
    isOver = asyncio.Event()

    async def client():
        while not isOver.is_set():
            sent = loop.time()
            answer = await world.send(near, "GET", "/seats/1", deadline_ms=2000)
            answers.append((sent, answer["status"]))
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def entries():
        while not isOver.is_set():
            found = sorted(key for key in world.store.items_ if "/instances/" in key)
            world.record.write("entries", keys=found)
            await asyncio.sleep(1)

    tasks = [asyncio.create_task(client()) for _ in range(CLIENTS)] + [asyncio.create_task(entries())]
    await asyncio.sleep(BEFORE_S)
    killed = loop.time()
    lost = []

    def lateness(body):
        isEntry = any(put["Key"].endswith("/instances/" + far.name) for put in body.get("Puts", []))
        if not hasTrouble or not isEntry or lost:
            return None
        lost.append(body)
        return LATE_S

    world.store.lateness = lateness
    await asyncio.gather(*[gateway.restartAfter(signal.SIGKILL) for gateway in (near, far)])
    await world.awaitReady()
    back = loop.time()
    await asyncio.sleep(BOUNDS["RecoveryS"] + AFTER_S)
    isOver.set()
    await asyncio.gather(*tasks)
    before = [status for sent, status in answers if sent < killed]
    after = [status for sent, status in answers if sent > back + BOUNDS["RecoveryS"]]
    served = [sum(1 for status in statuses if status == 200) / max(1, len(statuses)) for statuses in (before, after)]
    print("served before: %.3f of %d; later than %d s after the machines were back: %.3f of %d" % (served[0], len(before), BOUNDS["RecoveryS"], served[1], len(after)))
    if served[0] >= 0.25 and served[1] < 0.25:
        return ["RECOVER: of %d requests sent later than %d s after the machines were back, %.3f were served; %.3f before" % (len(after), BOUNDS["RecoveryS"], served[1], served[0])]
    return []


run_case(HERE, {"khomas-a": "khomas", "omaheke-a": "omaheke"}, play)
