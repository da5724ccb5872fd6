"""A small deployment on loopback addresses: the real gateway program as separate processes, and stand-ins for the platform's store, the
replicas and the clients in the process of the case that imports this module.

Everything runs on the real clock. What the stand-ins see is written to record.txt in the folder of the case, one JSON object a line.
"""

import asyncio
import base64
import bisect
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "barn.example"
KEY = "key-of-the-guides"
TENANT = "guides"
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
HISTORY_S = 20
RESTART_S = 0.5
MEMORY_MB = 260
MAX_FDS = 4100
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 5000, "AckMs": 6000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 3000, "DowngradeSlackMs": 250, "SkewMaxMs": 8000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 58, "QuotaWindowS": 8,
    "QuotaOver": 0.1, "QuotaSlack": 140000, "ColdOver": 1.5, "ColdSlack": 3, "EvacuateMs": 5000, "RecoveryS": 12, "PassMs": 600, "ReuseWindowS": 10, "ttl_max_s": 5}


def route(name, path, kind, service, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": path, "Kind": kind, "TimeoutMs": 5000, "TargetLatencyMs": 1000, "Priority": 1, "Service": service,
        "MaxAttempts": 2, "Public": False, "Sticky": kind == "stream", "Resumable": False, "HomeRegions": [], **more}


def engine_service(name, **more):
    return {"Name": name, "HealthPath": "/health", "MaxConns": 630, "ColdS": 3.0, "ColdPerS": 4.6,
        "Engine": {"Slots": 128, "KvCapacity": 680435, "KvTokenBytes": 35136, "LinkMbps": 1100000.0, "Stride": 7, "Models": [{"Name": "m"}]}, **more}


def plain_service(name, **more):
    return {"Name": name, "HealthPath": "/health", "MaxConns": 110, "ColdS": 0.0, "ColdPerS": 0.0, **more}


def configuration(version, routes, services, **more):
    return {"Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Unit": "token_stream", "PlainTokens": 200, "RatePerS": 0, "Burst": 0, "HomeRegions": []}], **more}


class Record:
    def __init__(self, folder):
        self.start_ = time.monotonic()
        self.file_ = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start_

    def write(self, what, **fields):
        self.file_.write(json.dumps({"t": round(self.now(), 4), "what": what, **fields}) + "\n")

    def close(self):
        self.file_.close()


async def read_message(reader):
    """Reads one HTTP message; returns its first line, its headers (lower-case names) and its body, or None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (field := (await reader.readline()).strip()):
        name, value = field.decode("latin-1").split(":", 1)
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while (size := int((await reader.readline()).split(b";")[0], 16)):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return line.decode("latin-1").strip(), headers, body


def message(status, headers=(), body=b""):
    names = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = ["HTTP/1.1 %d %s" % (status, names.get(status, "Other"))] + ["%s: %s" % pair for pair in headers] + ["Content-Length: %d" % len(body)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Accepts HTTP connections; a subclass answers each request and returns whether the connection goes on."""

    async def listen(self, ip, port=0):
        self.server_ = await asyncio.start_server(self.connection_, ip, port, backlog=512, limit=1 << 20)
        self.address = "%s:%d" % self.server_.sockets[0].getsockname()[:2]
        return self.address

    async def connection_(self, reader, writer):
        try:
            while (request := await read_message(reader)):
                method, target, _ = request[0].split(" ", 2)
                if not await self.answer(method, target, request[1], request[2], writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller has closed the connection, or the case has ended.
        finally:
            writer.close()


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record):
        self.record_ = record
        self.revision_ = 1
        self.items_ = {}
        self.events_ = []
        self.leases_ = {}
        self.lastLease_ = 0
        self.changed_ = asyncio.Event()
        # Returns after how many seconds a transaction is done whose answer is lost, or None if it is answered.
        self.lateness = lambda body: None

    async def listen(self, ip, port=0):
        self.expiry_ = asyncio.create_task(self.expireLeases_())
        return await super().listen(ip, port)

    def put(self, key, value, lease=0):
        self.revision_ += 1
        created = self.items_[key]["CreateRev"] if key in self.items_ else self.revision_
        self.items_[key] = {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision_, "CreateRev": created, "Lease": lease}
        self.notify_(self.items_[key])

    def remove(self, key):
        if self.items_.pop(key, None):
            self.revision_ += 1
            self.notify_({"Key": key, "Revision": self.revision_, "Deleted": True})

    def notify_(self, event):
        self.events_.append((self.revision_, time.monotonic(), event))
        self.changed_.set()
        self.changed_ = asyncio.Event()

    async def expireLeases_(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases_.items() if end <= now]:
                self.endLease_(lease)

    def endLease_(self, lease):
        self.leases_.pop(lease, None)
        for key in [key for key, item in self.items_.items() if item["Lease"] == lease]:
            self.remove(key)

    async def answer(self, method, target, headers, body, writer):
        await asyncio.sleep(STORE_ANSWER_S)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        call = json.loads(body) if body else {}
        late_s = self.lateness(call) if url.path == "/-/kv-txn" else None
        if late_s is not None:
            keys = [put["Key"] for put in call.get("Puts", [])]
            self.record_.write("answer of the store lost", keys=keys, done_after_s=late_s)
            await asyncio.sleep(late_s)
            status, _ = self.transact_(call)
            self.record_.write("late write done", keys=keys, status=status)
            return False
        status, reply = await self.call_(method, url.path, query, call)
        writer.write(message(status, [("Content-Type", "application/json")], json.dumps(reply).encode()))
        await writer.drain()
        return headers.get("connection", "").lower() != "close"

    async def call_(self, method, path, query, body):
        if path == "/-/kv-key":
            item = self.items_.get(query["Key"])
            return (200, {**item, "CurrentRev": self.revision_}) if item else (404, {})
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items_ if key.startswith(query["PathPrefix"]))
            keys = keys[bisect.bisect_right(keys, query.get("after", "")):]
            return 200, {"items": [self.items_[key] for key in keys[:500]], "MorePages": len(keys) > 500, "CurrentRev": self.revision_}
        if path == "/-/kv-watch":
            return await self.watch_(query["PathPrefix"], int(query["after"]), int(query["WaitMs"]) / 1000)
        if path == "/-/kv-txn":
            return self.transact_(body)
        if path == "/-/kv-lease":
            self.lastLease_ += 1
            self.leases_[self.lastLease_] = (body["TtlMs"] / 1000, time.monotonic() + body["TtlMs"] / 1000)
            return 200, {"Lease": self.lastLease_, "TtlMs": body["TtlMs"]}
        lease = int(path.rsplit("/", 1)[1]) if path.startswith(("/-/kv-keep/", "/-/kv-lease-end/")) else 0
        if lease not in self.leases_:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            term = self.leases_[lease][0]
            self.leases_[lease] = (term, time.monotonic() + term)
            return 200, {"Lease": lease, "TtlMs": int(term * 1000)}
        self.endLease_(lease)
        return 200, {}

    async def watch_(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            oldest = time.monotonic() - HISTORY_S
            while self.events_ and self.events_[0][1] < oldest:
                self.lostRevision_ = self.events_.pop(0)[0]
            if after < getattr(self, "lostRevision_", 0) or after > self.revision_:
                return 410, {}
            first = bisect.bisect_right(self.events_, after, key=lambda event: event[0])
            events = [event for _, _, event in self.events_[first:] if event["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision_}
            try:
                await asyncio.wait_for(self.changed_.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact_(self, body):
        expected = body.get("ExpectedRev", [])
        current = {row["Key"]: self.items_.get(row["Key"], {"Key": row["Key"], "Revision": 0}) for row in expected}
        if any(current[row["Key"]]["Revision"] != row["Revision"] for row in expected):
            return 412, {"items": list(current.values())}
        puts = body.get("Puts", [])
        if any(put["Lease"] and put["Lease"] not in self.leases_ for put in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in [put["Key"] for put in puts] + body.get("Remove", [])):
            return 403, {}
        for put in puts:
            self.put(put["Key"], base64.b64decode(put["Value"]), put["Lease"])
        for key in body.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision_}


class Replica(Server):
    """A replica that registers itself. Runs a request with `run`, a coroutine function that gets (replica, request) and writes the answer."""

    def __init__(self, record, store, name, service, zone, run, slots=128, version="v1"):
        self.record, self.store_, self.name, self.service_, self.zone_, self.run_ = record, store, name, service, zone, run
        self.slots_, self.version = slots, version
        self.born_ = int(time.time() * 1000)
        self.sequence_ = 0
        self.running = 0
        self.state = "ready"

    async def start(self, ip):
        await self.listen(ip)
        self.beats_ = asyncio.create_task(self.beat_())

    async def beat_(self):
        next_beat = time.monotonic()
        while True:
            self.register()
            next_beat += HEARTBEAT_S
            await asyncio.sleep(max(0.0, next_beat - time.monotonic()))

    def register(self):
        self.sequence_ += 1
        entry = {"Service": self.service_, "Addr": self.address, "Zone": self.zone_, "Version": self.version, "Slots": self.slots_, "State": self.state,
            "ColdLeftMs": 0, "Seq": self.sequence_, "born": self.born_}
        # The entry changes when more than Seq changes.
        said = {name: value for name, value in entry.items() if name != "Seq"}
        if said != getattr(self, "said_", None):
            self.said_ = said
            self.store_.put("servers/" + self.name, json.dumps(entry).encode())

    async def answer(self, method, target, headers, body, writer):
        load = ("X-Ibisturn-Server-Load", "%d,0,%d" % (self.running, self.slots_))
        if target == "/health":
            writer.write(message(200, [("X-Ibisturn-Instance-Id", self.name), ("X-Ibisturn-Cold-Ms", "0"), load]))
            return True
        if target == "/-/report":
            report = {"Stage": "colocated", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Seq": self.sequence_, "Waiting": 0,
                "Running": self.running, "KvUsed": 0, "KvTotal": 680435, "Handles": 0, "born": self.born_}
            writer.write(message(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            return True
        if target.startswith("/-/"):
            writer.write(message(404))
            return True
        request = headers.get("x-ibisturn-request-id", "")
        if headers.get("x-ibisturn-expect-instance", self.name) != self.name:
            writer.write(message(421, [("X-Ibisturn-Request-Id", request), ("X-Ibisturn-Not-Executed", "1")]))
            return True
        self.record.write("run", replica=self.name, request=request, key="authorization" in headers, tenant=headers.get("x-ibisturn-tenant", ""),
            resumes_after=headers.get("last-event-id", ""))
        self.running += 1
        try:
            return await self.run_(self, {"id": request, "method": method, "target": target, "headers": headers, "body": body, "writer": writer, "load": load})
        finally:
            self.running -= 1

    def head(self, request):
        return [("X-Ibisturn-Request-Id", request["id"]), ("X-Ibisturn-Server-Seal", "seal.%s.%s" % (self.name, request["id"])), request["load"], ("Keep-Alive", "timeout=30")]


async def run_plain(replica, request, work_s=0.015):
    await asyncio.sleep(work_s)
    request["writer"].write(message(200, replica.head(request) + [("Content-Type", "text/plain")], b"x" * 800))
    await request["writer"].drain()
    return True


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def run_stream(replica, request, events=3, gap_s=0.02):
    """Answers with `events` events, which are numbered from 1, behind Last-Event-Id."""
    writer = request["writer"]
    headers = replica.head(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % pair for pair in headers) + "\r\n").encode())
    for event in range(int(request["headers"].get("last-event-id") or "0") + 1, events + 1):
        await asyncio.sleep(gap_s)
        writer.write(chunk(b"id: %d\ndata: piece %d\n\n" % (event, event)))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


def render(template, values):
    """Fills in the parts of the platform's template language that deploy/settings.yaml uses."""

    def lookup(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return value

    def section(match):
        return "".join(match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(value)) for key, value in lookup(match.group(1)).items())

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1))), text)


def prepare_process():
    """Gives a process the descriptors of a front machine, and signals as the platform leaves them. Runs in the child."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)


def free_port(ip):
    """A port of `ip` outside of the range of outgoing connections."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="utf-8") as file:
        first, last = (int(word) for word in file.read().split())
    for port in range(10000, 65000):
        if first <= port <= last or (ip, port) in free_port.taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        free_port.taken.add((ip, port))
        return port
    raise RuntimeError("no free port")


free_port.taken = set()


class Gateway:
    """One machine of the gateway, run with the command and the template of the deploy file."""

    def __init__(self, world, name, zone, ip):
        self.world_, self.name, self.zone, self.ip = world, name, zone, ip
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(), re.M))
        ports = {each: free_port(ip) for each in ("Front", "Ready", "Control", "Directory")}
        self.listen = {each: "%s:%d" % (ip, port) for each, port in ports.items()}
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), {"Node": name, "Region": world.zones[zone], "Zone": zone, "Ip": ip, "Zones": world.zones, "PortRange": [free_port(ip), free_port(ip)],
                "Listen": self.listen, "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}, "Bounds": BOUNDS,
                "Platform": {"Addr": world.store.address}})
        self.settings_ = os.path.join(world.folder, name + ".yaml")
        with open(self.settings_, "w", encoding="utf-8") as file:
            file.write(text)
        self.command_ = role["run"].replace("/etc/ibisturn/boot.json", self.settings_).split()
        self.process = None

    def start(self):
        environment = {each: os.environ[each] for each in ("PATH", "HOME", "LANG") if each in os.environ}
        environment["IBISTURN_BOOT"] = self.settings_
        with open(os.path.join(self.world_.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(self.command_, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=prepare_process)
        self.world_.record.write("start", gateway=self.name)

    def signal(self, number):
        self.world_.record.write("signal", gateway=self.name, number=int(number))
        self.process.send_signal(number)

    async def restartAfter(self, number):
        """Sends a signal and starts the process again shortly after its end, as the platform does."""
        self.signal(number)
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(RESTART_S)
        self.start()

    async def awaitReady(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if (await call(self.listen["Ready"], "GET", "/-/ready", {}, timeout=1))["status"] == 200:
                    return True
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def call(address, method, target, headers, body=b"", timeout=5.0):
    """One request on a connection of its own. Returns its status, headers and body; raises OSError, ValueError or a time-out if no whole answer came."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), min(timeout, 1.0))
    try:
        lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % pair for pair in {"Host": HOST, **headers}.items()]
        if body:
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = await asyncio.wait_for(read_message(reader), timeout)
        if not answer:
            raise ConnectionResetError("closed without an answer")
        return {"status": int(answer[0].split()[1]), "headers": answer[1], "body": answer[2]}
    finally:
        writer.close()


class World:
    """The deployment of a case. `zones` maps zones to regions."""

    def __init__(self, folder, zones):
        self.zones = zones
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="ibisturn-case-")
        self.gateways = []
        self.requests_ = 0

    async def open(self):
        self.store = Store(self.record)
        await self.store.listen("127.0.0.1")

    def operate(self, key, value):
        """The operator writes an entry, or removes it if `value` is None. The acknowledgement is the return."""
        if value is None:
            self.store.remove(key)
        else:
            self.store.put(key, json.dumps(value).encode())
        self.record.write("operator", key=key, exists=value is not None)

    def addGateway(self, name, zone, ip):
        gateway = Gateway(self, name, zone, ip)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    async def awaitReady(self):
        for gateway in self.gateways:
            if not await gateway.awaitReady():
                raise RuntimeError("%s is not ready" % gateway.name)

    def requestId(self):
        self.requests_ += 1
        return "%016x" % (0x9C41D07B00000000 + self.requests_)

    async def send(self, gateway, method, target, headers=None, body=b"", deadline_ms=3000, key=KEY, address=None):
        """One client attempt with an id of its own; records and returns what came of it."""
        request = self.requestId()
        fields = {"X-Ibisturn-Request-Id": request, "X-Ibisturn-Deadline-Ms": str(deadline_ms), **(headers or {})}
        if key:
            fields["Authorization"] = "Bearer " + key
        self.record.write("send", request=request, target=target, gateway=gateway.name)
        answer = {"status": 0, "headers": {}, "body": b"", "how": ""}
        try:
            answer.update(await call(gateway.listen["Front"], method, target, fields, body, deadline_ms / 1000 + 1))
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer["how"] = "%s: %s" % (type(error).__name__, error)
        answer["id"] = request
        self.record.write("answer", request=request, status=answer["status"], seal=answer["headers"].get("x-ibisturn-server-seal", ""), bytes=len(answer["body"]), how=answer["how"])
        return answer

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, zones, play, limit_s=110):
    """Plays a case: `play` gets the world and whether the disruption happens, and returns a text for each time that the rule was broken. Ends
    the process with 1 if it was, 0 if not, and 2 if the case could not run."""
    hasTrouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder, zones)
        try:
            await world.open()
            return await asyncio.wait_for(play(world, hasTrouble), limit_s)
        finally:
            world.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # Whatever keeps the case from running is not a finding.
        print("could not run: %s: %s" % (type(error).__name__, error))
        sys.exit(2)
    for text in broken:
        print("broken:", text)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
