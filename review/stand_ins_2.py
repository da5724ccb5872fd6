"""Stand-ins of the platform's store, of replicas and of clients for the scripts of the second review. They follow the pages PROTOCOL.md and
DEPLOY.md, listen on loopback addresses with ports that the system chooses, and need nothing but Python."""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.environ.get("IBISTURN_PROGRAM", os.path.join(ROOT, "target", "ibisturn"))
HOST = "ficu95.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Closed(Exception):
    """The other side closed or reset the connection before a message was whole."""


def free_port(addresses=("127.0.0.1",)):
    """A port that is free on all these addresses."""
    for _ in range(100):
        port = None
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port or 0))
                    port = probe.getsockname()[1]
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


PORTS = ("Front", "Ready", "Directory", "Peers", "Metrics")


def free_ports(addresses=("127.0.0.1",)):
    return {name: free_port(addresses) for name in PORTS}


class Message:
    def __init__(self, start, headers, body=b"", complete=True):
        self.start, self.headers, self.body, self.complete = start, headers, body, complete

    def get(self, name, default=None):
        return next((value for key, value in self.headers if key.lower() == name.lower()), default)

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip(" \t") for part in line.split(":", 1)) for line in lines[1:] if ":" in line]
    return Message(lines[0], headers)


async def read_body(reader, message, until_close):
    """Reads the body, and sets whether it was complete."""
    try:
        if (message.get("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    return
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif message.get("Content-Length") is not None:
            length = int(message.get("Content-Length"))
            while len(message.body) < length:
                part = await reader.read(length - len(message.body))
                if not part:
                    raise Closed("the body is short")
                message.body += part
        elif until_close:
            while part := await reader.read(65536):
                message.body += part
    except (asyncio.IncompleteReadError, ConnectionError, Closed, ValueError) as error:
        if isinstance(error, asyncio.IncompleteReadError):
            message.body += error.partial
        message.complete = False


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Listener:
    """Serves one request at a time on each connection. `serve` answers a request and returns whether the connection stays open."""

    async def listen(self, serve):
        self.serve = serve
        self.connections = set()
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if not await self.serve(request, reader, writer):
                    break
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def reset(self):
        for writer in list(self.connections):
            writer.transport.abort()


class Store:
    """The platform's store. Each instance has a listener of its own, which can be put out of service."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision = 1
        self.changed = asyncio.Condition()
        self.modes = {}
        self.lease = 100

    async def listener(self, name):
        self.modes[name] = "serve"

        async def serve(request, reader, writer):
            await read_body(reader, request, False)
            mode = self.modes[name]
            if mode == "silent":
                await asyncio.sleep(3600)
            if mode == "reset":
                writer.transport.abort()
                return False
            if mode == "busy":
                writer.write(answer(503))
                return True
            status, body = await self.call(request)
            if self.modes[name] == "silent":
                await asyncio.sleep(3600)
            writer.write(answer(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
            await writer.drain()
            return True

        return await Listener().listen(serve)

    def expire(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end < now:
                del self.leases[lease]
                self.apply([], [key for key, item in self.items.items() if item["Lease"] == lease])

    def apply(self, puts, removed):
        if not puts and not removed:
            return
        self.revision += 1
        for put in puts:
            old = self.items.get(put["Key"])
            item = {"Key": put["Key"], "Value": put["Value"], "Revision": self.revision, "Lease": put.get("Lease", 0),
                    "CreateRev": old["CreateRev"] if old else self.revision}
            self.items[put["Key"]] = item
            self.history.append(item)
        for key in removed:
            if self.items.pop(key, None):
                self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})

    async def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.apply([{"Key": key, "Value": base64.b64encode(text).decode()}], [])
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        self.apply([], [key])
        async with self.changed:
            self.changed.notify_all()

    async def call(self, request):
        self.expire()
        method, target, _ = request.start.split()
        path, _, query = target.partition("?")
        words = dict(urllib.parse.parse_qsl(query))
        if path == "/-/kv-key":
            item = self.items.get(words["Key"])
            return (200, item | {"CurrentRev": self.revision}) if item else (404, {"CurrentRev": self.revision})
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(words["PathPrefix"]) and key > words.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "MorePages": len(keys) > 500, "CurrentRev": self.revision}
        if path == "/-/kv-watch":
            end = time.monotonic() + int(words["WaitMs"]) / 1000
            after = int(words["after"])
            while True:
                self.expire()
                events = [event for event in self.history if event["Revision"] > after and event["Key"].startswith(words["PathPrefix"])]
                if events or time.monotonic() > end:
                    return 200, {"events": events, "CurrentRev": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), 0.2)
                    except asyncio.TimeoutError:
                        pass
        if path == "/-/kv-txn":
            body = json.loads(request.body)
            expected = body.get("ExpectedRev", [])
            if any(self.items.get(row["Key"], {"Revision": 0})["Revision"] != row["Revision"] for row in expected):
                return 412, {"items": [self.items[row["Key"]] for row in expected if row["Key"] in self.items]}
            if any(put.get("Lease", 0) not in self.leases for put in body.get("Puts", []) if put.get("Lease", 0)):
                return 404, {}
            self.apply(body.get("Puts", []), body.get("Remove", []))
            async with self.changed:
                self.changed.notify_all()
            return 200, {"Revision": self.revision}
        if path == "/-/kv-lease":
            length = max(1000, json.loads(request.body)["TtlMs"])
            self.lease += 1
            self.leases[self.lease] = (length, time.monotonic() + length / 1000)
            return 200, {"Lease": self.lease, "TtlMs": length}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            length = self.leases[lease][0]
            self.leases[lease] = (length, time.monotonic() + length / 1000)
            return 200, {"TtlMs": length}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if self.leases.pop(lease, None):
                self.apply([], [key for key, item in self.items.items() if item["Lease"] == lease])
            return 200, {}
        return 404, {}


class Replica:
    """A sound replica. `work`, if it is given, answers the requests that run."""

    def __init__(self, store, name, service, zone, work=None, version="v1", engine=None, slots=8):
        self.store, self.name, self.service, self.zone, self.work = store, name, service, zone, work
        self.version, self.engine, self.slots = version, engine, slots
        self.state, self.sequence, self.running = "ready", 0, 0
        self.born = int(time.time() * 1000)
        self.runs = []

    async def start(self):
        self.listener = await Listener().listen(self.serve)
        self.address = self.listener.address
        await self.beat()
        self.beating = asyncio.create_task(self.beat_on())
        return self

    async def beat(self):
        self.sequence += 1
        entry = {"Service": self.service, "Addr": self.address, "Zone": self.zone, "Version": self.version, "Slots": self.slots,
                 "State": self.state, "ColdLeftMs": 0, "Seq": self.sequence, "born": self.born}
        if self.engine:
            entry |= {"Stage": "colocated", "Models": [{"Name": "m", "Version": 1, "Adapters": []}]}
        await self.store.put("servers/" + self.name, entry)

    async def beat_on(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def end(self):
        self.beating.cancel()
        self.listener.server.close()
        self.listener.reset()
        await self.store.remove("servers/" + self.name)

    async def serve(self, request, reader, writer):
        path = request.start.split()[1].partition("?")[0]
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(answer(status, [("X-Ibisturn-Instance-Id", self.name), ("X-Ibisturn-Server-Load", f"{self.running},0,{self.slots}")]))
            return True
        if path == "/-/report":
            report = {"Stage": "colocated", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Seq": 0, "Waiting": 0,
                      "Running": self.running, "KvUsed": 0, "KvTotal": 600000, "Handles": 0, "born": self.born}
            writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            return True
        if path.startswith("/-/"):
            writer.write(answer(404))
            return True
        if request.get("X-Ibisturn-Expect-Instance", self.name) != self.name:
            await read_body(reader, request, False)
            writer.write(answer(421, [("X-Ibisturn-Instance-Id", self.name), ("X-Ibisturn-Not-Executed", "1")]))
            return True
        self.runs.append(request)
        self.running += 1
        try:
            if self.work:
                return await self.work(self, request, reader, writer)
            await read_body(reader, request, False)
            writer.write(answer(200, self.marks(request), b"served by " + self.name.encode()))
            await writer.drain()
            return True
        finally:
            self.running -= 1

    def marks(self, request):
        return [("X-Ibisturn-Request-Id", request.get("X-Ibisturn-Request-Id", "")), ("X-Ibisturn-Server-Seal", SEAL)]


def route(name, service, kind="idempotent", **fields):
    whole = {"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 12000, "TargetLatencyMs": 1000, "Priority": 1,
             "Service": service, "MaxAttempts": 2, "Public": True, "Sticky": False, "Resumable": False, "HomeRegions": []}
    return whole | fields


def service(name, **fields):
    return {"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0} | fields


ENGINE = {"Slots": 64, "KvCapacity": 612718, "KvTokenBytes": 35136, "LinkMbps": 1500000.0, "Moves": False, "Backups": False, "Stride": 7,
          "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": "m"}]}


def configuration(version, routes, services, tenants=(), **limits):
    bounds = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return {"Version": version, "Routes": routes, "Services": services, "Limits": bounds | limits, "Tenants": list(tenants)}


class Instance:
    """One process of the program, started as the deploy file says, with the template of the settings filled in."""

    def __init__(self, folder, name, zone, regions, store_address, ip="127.0.0.1", ports=None):
        self.folder, self.name, self.ip = folder, name, ip
        ports = ports or free_ports()
        self.callers, self.ready, self.directory = (f"{ip}:{ports[key]}" for key in ("Front", "Ready", "Directory"))
        values = {
            "Node": name, "Zone": zone, "Region": regions[zone], "Ip": ip, "Listen.Front": self.callers, "Listen.Ready": self.ready,
            "Listen.Directory": self.directory, "PortRange.0": ports["Peers"], "PortRange.1": ports["Metrics"],
            "Platform.Addr": store_address, "Limits.CpuShare": 0.25, "Limits.Cores": 1, "Limits.MemoryMb": 260, "Limits.MaxFds": 4100,
            "Bounds.RetryBudgetRatio": 0.2, "Bounds.BudgetExtra": 58, "Bounds.BudgetWindowS": 10, "Bounds.QuotaWindowS": 8,
            "Bounds.QuotaOver": 0.1, "Bounds.QuotaSlack": 140000, "Bounds.DrainMs": 3000, "Bounds.GraceS": 8,
        }
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as file:
            text = file.read()

        def zones(section):
            return "".join(section[1].replace("{{@}}", zone).replace("{{.}}", region) for zone, region in regions.items())

        text = re.sub(r"\{\{#Zones\}\}(.*?)\{\{/Zones\}\}", zones, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda place: str(values[place[1]]), text)
        self.settings = os.path.join(folder, f"{name}-{ip}.yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    async def start(self):
        self.log = open(os.path.join(self.folder, f"{self.name}-{self.ip}.log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ} | {"IBISTURN_BOOT": self.settings}
        try:
            self.process = await asyncio.create_subprocess_exec(PROGRAM, "serve", "--settings", self.settings, cwd=ROOT, env=environment,
                                                                stdout=self.log, stderr=self.log)
        except OSError as error:
            raise CannotRun(f"the program doesn't start: {error}") from error
        return self

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def await_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if (await ask(self.ready, "GET", "/-/ready")).status == 200:
                    return
            except (Closed, OSError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")

    def send(self, which):
        if self.is_running():
            self.process.send_signal(which)

    async def end(self):
        if self.is_running():
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()
            self.log.close()


def request_text(method, target, headers=(), body=b""):
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_answer(reader, method="GET"):
    """The final answer, without those that announce it."""
    while True:
        message = await read_head(reader)
        if message.status >= 200:
            break
    if method != "HEAD" and message.status not in (204, 304):
        await read_body(reader, message, True)
    return message


async def ask(address, method, target, headers=(), body=b"", timeout=15.0):
    """Sends a request on a new connection and returns the answer. Raises Closed if there is none."""
    host, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        try:
            writer.write(request_text(method, target, headers, body))
            await writer.drain()
            return await read_answer(reader, method)
        except ConnectionError as error:
            raise Closed(str(error)) from error
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError as error:
        raise Closed("no answer in time") from error


def client_headers(request_id, deadline=3000, **more):
    return [("Host", HOST), ("X-Ibisturn-Request-Id", request_id), ("X-Ibisturn-Deadline-Ms", str(deadline)),
            *((name.replace("_", "-"), value) for name, value in more.items())]
