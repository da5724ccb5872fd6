"""Streams of a resumable route whose lines end with CR LF arrive without any event and end as complete."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world_3 import Replica, configuration, engine_service, route, run_case, run_stream  # noqa: E402

PROMPT = {"X-Ibisturn-Model": "m", "X-Ibisturn-Token-Count": "400,20", "X-Ibisturn-Prompt-Prefix": "5c1e07:200,a00:200"}


async def play(world, hasTrouble):
    world.operate("op/config", configuration(1, [route("notes", "/notes/", "stream", "guide", Resumable=True)], [engine_service("guide")]))

    async def run(replica, request):
        return await run_stream(replica, request, line_end=b"\r\n" if replica.version == "v2" else b"\n")

    old = Replica(world.record, world.store, "i-old", "guide", "khomas-a", run)
    await old.start("127.0.2.1")
    gateway = world.addGateway("front-1", "khomas-a", "127.0.1.1")
    await world.awaitReady()
    await asyncio.sleep(1.5)
    print((await world.send(gateway, "POST", "/notes/1", PROMPT, b"x" * 400)))
    if hasTrouble:
        new = Replica(world.record, world.store, "i-new", "guide", "khomas-a", run, version="v2", cold_s=0)
        await new.start("127.0.2.2")
        await asyncio.sleep(2)
        old.state = "draining"
        old.register()
        await asyncio.sleep(2)
    broken = []
    for _ in range(3):
        answer = await world.send(gateway, "POST", "/notes/1", PROMPT, b"x" * 400)
        print(answer)
        if answer["status"] == 200 and answer["body"].count(b"data:") != 3:
            broken.append("ORDER: %s got 200 and a complete end with %d of 3 events" % (answer["id"], answer["body"].count(b"data:")))
    return broken


run_case(HERE, {"khomas-a": "khomas"}, play)
