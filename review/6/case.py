"""Many users come at once, while others go on over the connections that they keep. See claim.txt."""

import asyncio
import os
import resource
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins_2 import (CannotRun, Closed, Instance, Replica, Store, answer, client_headers, configuration, read_answer,  # noqa: E402
                         read_body, request_text, route, service)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "khomas-a"
USERS = 850 if TROUBLE else 100
LONG_WORK = 4.0
HEAD_SECONDS = 1.0
KEPT = 20
REPLICAS = 12
record = open("record.txt", "w", encoding="utf-8")
started = None


def note(text):
    print(f"{asyncio.get_running_loop().time() - started:6.2f} s  {text}", file=record, flush=True)


async def work(replica, request, reader, writer):
    await read_body(reader, request, False)
    if request.start.split()[1].startswith("/lohu930/"):
        await asyncio.sleep(LONG_WORK)
    writer.write(answer(200, replica.marks(request), ("for " + request.get("X-Ibisturn-Request-Id")).encode()))
    await writer.drain()
    return True


async def user(instance, number, statuses):
    """A user on a slow link, whose head takes HEAD_SECONDS to arrive."""
    text = request_text("POST", "/lohu930/2f", client_headers(f"long-{number:04}", 12000), b"{}")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*instance.callers.split(":"), limit=1 << 16)
        writer.write(text[:40])
        await asyncio.sleep(HEAD_SECONDS)
        writer.write(text[40:])
        status = (await asyncio.wait_for(read_answer(reader), 14)).status
    except (Closed, OSError, asyncio.TimeoutError):
        status = "no answer"
    finally:
        if writer:
            writer.close()
    statuses[status] = statuses.get(status, 0) + 1


class Kept:
    """A client that sends one request after the other over a connection that it keeps."""

    def __init__(self, instance, number):
        self.instance, self.number, self.step = instance, number, 0
        self.wrong, self.refused, self.statuses = [], [], {}

    async def run(self, end):
        while asyncio.get_running_loop().time() < end:
            try:
                reader, writer = await asyncio.open_connection(*self.instance.callers.split(":"), limit=1 << 20)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while asyncio.get_running_loop().time() < end:
                    if not await self.exchange(reader, writer):
                        break
                    await asyncio.sleep(0.1)
            except (Closed, ConnectionError, asyncio.TimeoutError) as error:
                note(f"kept-{self.number:02}: the connection ended: {type(error).__name__}")
            finally:
                writer.close()

    async def exchange(self, reader, writer):
        self.step += 1
        request_id = f"kept-{self.number:02}-{self.step:03}"
        writer.write(request_text("POST", "/pule252/2f", client_headers(request_id)))
        reply = await asyncio.wait_for(read_answer(reader), 5)
        self.statuses[reply.status] = self.statuses.get(reply.status, 0) + 1
        if reply.status in (429, 503, 408, 421):
            self.refused.append(request_id)
        named = reply.get("X-Ibisturn-Request-Id", request_id)
        if named != request_id or (200 <= reply.status < 300 and reply.body != ("for " + request_id).encode()):
            self.wrong.append(request_id)
            note(f"{request_id}: answered {reply.status} with the answer of {named}, {reply.body.decode()!r}")
            return False
        if reply.status != 200:
            note(f"{request_id}: answered {reply.status} {reply.body.decode()!r}, Connection: {reply.get('Connection')}")
        return (reply.get("Connection") or "").lower() != "close"


async def run(folder):
    global started
    started = asyncio.get_running_loop().time()
    store = Store()
    listener = await store.listener("front")
    routes = [route("lohu930", "huvo11a"), route("pule252", "wuno96b", "non_idempotent", TimeoutMs=3000)]
    await store.put("op/config", configuration(1, routes, [service("huvo11a", MaxConns=630), service("wuno96b")]))
    models = [await Replica(store, f"i-model-{number}", "huvo11a", ZONE, work, slots=128).start() for number in range(REPLICAS)]
    application = [await Replica(store, f"i-app-{number}", "wuno96b", ZONE, work).start() for number in range(3)]
    instance = await Instance(folder, "front-khomas-a-1", ZONE, {ZONE: "khomas"}, listener.address).start()
    statuses = {}
    try:
        await instance.await_ready()
        await asyncio.sleep(1)
        kept = [Kept(instance, number) for number in range(KEPT)]
        tasks = [asyncio.create_task(client.run(started + 14)) for client in kept]
        await asyncio.sleep(2)
        note(f"{USERS} users come at once")
        await asyncio.gather(*(user(instance, number, statuses) for number in range(USERS)), *tasks)
        note(f"answers to these users: {statuses}")
        ran = {request.get("X-Ibisturn-Request-Id") for replica in application for request in replica.runs}
        wrong = [request_id for client in kept for request_id in client.wrong]
        untrue = sorted(request_id for client in kept for request_id in client.refused if request_id in ran)
        totals = {}
        for client in kept:
            for status, count in client.statuses.items():
                totals[status] = totals.get(status, 0) + count
        note(f"answers to the clients that keep connections: {totals}")
        note(f"MIXED, answers that belong to another request: {len(wrong)}: {wrong}")
        note(f"REFUSED, requests that were refused as not run, and ran: {len(untrue)}: {untrue}")
        if not instance.is_running():
            note("the instance has ended")
            return 1
        return 1 if wrong or untrue else 0
    finally:
        await instance.end()
        for replica in models + application:
            await replica.end()


def main():
    # Both ends of each connection are in this process.
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    descriptors = min(most, 8192) if most > 0 else 8192
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, most))
    with tempfile.TemporaryDirectory() as folder:
        try:
            if descriptors < 4 * USERS:
                raise CannotRun("too few descriptors")
            result = asyncio.run(run(folder))
        except CannotRun as problem:
            print(f"could not run: {problem}", file=record)
            result = 2
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp -r {folder} {os.environ['KEEP_LOGS']}")
    print(f"result: {result}", file=record)
    sys.exit(result)


main()
