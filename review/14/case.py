"""After a rolling restart of the machines of one region, the machines of another region forward nothing to it for up to a minute.

Two regions. Clients in khomas use a route whose replicas are in khomas, and one that was added later, whose replicas are in omaheke. The two machines
of omaheke are stopped by SIGTERM and started again, one after the other.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world_3 import BOUNDS, Replica, configuration, plain_service, route, run_case, run_plain  # noqa: E402

CLIENTS = 12
REQUEST_PAUSE_S = 0.02
BEFORE_S = 6
# SITE kind roll_term: x = 1 at a time, gap_s = 1.3.
GAP_S = 1.3
STEADY_S = 30
MIN_REQUESTS = 20
MIN_SHARE = 0.25


async def play(world, hasTrouble):
    services = [plain_service("barnbook"), plain_service("archive")]
    first = route("seats", "/seats/", "idempotent", "barnbook")
    later = route("archive", "/archive/", "idempotent", "archive")
    world.operate("op/config", configuration(1, [first], services))
    for number, (service, zone) in enumerate([("barnbook", "khomas-a"), ("barnbook", "khomas-a"), ("archive", "omaheke-a"), ("archive", "omaheke-a")]):
        await Replica(world.record, world.store, "i-%d" % number, service, zone, run_plain, slots=6).start("127.0.2.%d" % (number + 1))
    near = world.addGateway("front-khomas-1", "khomas-a", "127.0.1.1")
    far = [world.addGateway("front-omaheke-%d" % number, "omaheke-a", "127.0.1.%d" % (number + 1)) for number in (1, 2)]
    await world.awaitReady()
    await asyncio.sleep(1)
    world.operate("op/config", configuration(2, [first, later], services))
    await asyncio.sleep(BOUNDS["ConfigApplyMs"] / 1000 + 1)
    loop = asyncio.get_running_loop()
    answers = []
    isOver = asyncio.Event()

    async def client(path):
        while not isOver.is_set():
            sent = loop.time()
            answer = await world.send(near, "GET", path, deadline_ms=2000)
            answers.append((sent, path, answer["status"]))
            await asyncio.sleep(REQUEST_PAUSE_S)

    tasks = [asyncio.create_task(client(path)) for path in ("/seats/1", "/archive/1") for _ in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    restarts = []
    if hasTrouble:
        for gateway in far:
            restarts.append(asyncio.create_task(gateway.restartAfter(signal.SIGTERM)))
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts)
    await world.awaitReady()
    steady = loop.time() + BOUNDS["StableMs"] / 1000
    await asyncio.sleep(BOUNDS["StableMs"] / 1000 + STEADY_S)
    isOver.set()
    await asyncio.gather(*tasks)

    def served(path, isSteady):
        statuses = [status for sent, each, status in answers if each == path and (sent >= steady) == isSteady]
        return len(statuses), sum(1 for status in statuses if status == 200) / max(1, len(statuses))

    for path in ("/seats/1", "/archive/1"):
        print("%s: before the steady state %.3f of %d served, in it %.3f of %d" % (path, *served(path, False)[::-1], *served(path, True)[::-1]))
    count, share = served("/archive/1", True)
    if count >= MIN_REQUESTS and share < MIN_SHARE * served("/seats/1", True)[1]:
        return ["CONFIG: of %d requests on the route that was added later, %.3f were served in steady state; %.3f on the first route" % (count, share, served("/seats/1", True)[1])]
    return []


run_case(HERE, {"khomas-a": "khomas", "omaheke-a": "omaheke"}, play)
