"""Requests whose transfer coding doesn't end with `chunked`, and whose bodies hold another request. See claim.txt."""

import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins_2 import CannotRun, Closed, Instance, Replica, Store, client_headers, configuration, read_answer, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"coast-a": "bc-coast"}
CODINGS = ["gzip", "xchunked", "identity", "chunked, gzip"]
record = open("record.txt", "w", encoding="utf-8")


def note(text):
    print(text, file=record, flush=True)


def text_of(start, headers, body=b""):
    return "\r\n".join([start, *(f"{name}: {value}" for name, value in headers), "", ""]).encode() + body


async def send(instance, number, coding):
    """Sends a request whose body is the text of another request, which no client sends."""
    hidden = text_of("POST /pule252/hidden HTTP/1.1", [*client_headers(f"hidden-{number:02}"), ("Content-Length", "0")])
    framing = ("Transfer-Encoding", coding) if TROUBLE else ("Content-Length", str(len(hidden)))
    reader, writer = await asyncio.open_connection(*instance.callers.split(":"), limit=1 << 20)
    try:
        writer.write(text_of("POST /pule252/sent HTTP/1.1", [*client_headers(f"sent-{number:02}"), framing], hidden))
        statuses = []
        while True:
            statuses.append((await asyncio.wait_for(read_answer(reader), 1)).status)
    except (Closed, ConnectionError, asyncio.TimeoutError):
        note(f"sent-{number:02}, {framing[0]}: {framing[1]}, with {len(hidden)} bytes that hold the text of hidden-{number:02}: answers {statuses}")
    finally:
        writer.close()


async def run(folder):
    store = Store()
    listener = await store.listener("front")
    await store.put("op/config", configuration(1, [route("pule252", "wuno96b", "non_idempotent")], [service("wuno96b")]))
    replica = await Replica(store, "i-02d9e6b4", "wuno96b", "coast-a").start()
    instance = await Instance(folder, "front-coast-a-1", "coast-a", ZONES, listener.address).start()
    try:
        await instance.await_ready()
        await asyncio.sleep(1)
        for number, coding in enumerate(CODINGS):
            await send(instance, number, coding)
        ran = [request.get("X-Ibisturn-Request-Id") for request in replica.runs]
        note(f"the replica ran: {ran}")
        hidden = [request_id for request_id in ran if request_id.startswith("hidden")]
        note(f"requests that no client sent, and that ran: {hidden}")
        return 1 if hidden or not instance.is_running() else 0
    finally:
        await instance.end()
        await replica.end()


def main():
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(run(folder))
        except CannotRun as problem:
            note(f"could not run: {problem}")
            result = 2
    note(f"result: {result}")
    sys.exit(result)


main()
