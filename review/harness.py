"""Stand-ins for the platform's store, replicas and clients, and a supervisor that runs instances of the gateway as processes.

They follow ../given/kit/more/system/PROTOCOL.md and DEPLOY.md. Only the Python standard library is used, all addresses are
loopback addresses, and only processes that were started here are ended.
"""

import base64
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
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 1.2
LEASE_POLL_S = 0.02
MEMORY_POLL_S = 0.01
HOST = "barn.example"
KEY = "guide-key-1"
ZONES = {"khomas-a": "khomas", "omaheke-a": "omaheke", "erongo-a": "erongo"}
# Figures of a front machine and of the bounds, from DEPLOY.md.
MEMORY_MB = 260
MAX_FDS = 4100
BOUNDS = {"DrainMs": 3000, "GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 58, "QuotaWindowS": 8,
    "QuotaOver": 0.1, "QuotaSlack": 140000}


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.start_ = now()
        self.lock_ = threading.Lock()
        self.file_ = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, *words):
        with self.lock_:
            self.file_.write("%8.3f  %s\n" % (now() - self.start_, " ".join(str(word) for word in words)))
            self.file_.flush()

    def say(self, *words):
        print(*words, flush=True)
        self.write(*words)


def recv_head(connection, pending):
    """Returns (start line, headers by lower-case name, bytes after the head), or None if the connection ended before."""
    while b"\r\n\r\n" not in pending:
        part = connection.recv(65536)
        if not part:
            return None
        pending += part
    head, rest = pending.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


def recv_exactly(connection, pending, length):
    while len(pending) < length:
        part = connection.recv(65536)
        if not part:
            raise ConnectionError("the connection ended within a body")
        pending += part
    return pending[:length], pending[length:]


class HttpServer:
    """Serves HTTP/1.1 on a loopback port, with one thread a connection."""

    def __init__(self, address=LOOPBACK):
        self.listener_ = socket.socket()
        self.listener_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener_.bind((address, 0))
        self.listener_.listen(1024)
        self.address = "%s:%d" % self.listener_.getsockname()
        self.connections_ = set()
        self.lock_ = threading.Lock()
        self.isStopped = False
        threading.Thread(target=self.accept_, daemon=True).start()

    def stop(self):
        """Ends the server as the end of its process would: the port refuses connections, and open ones are closed."""
        self.isStopped = True
        try:
            self.listener_.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener_.close()
        with self.lock_:
            connections = list(self.connections_)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept_(self):
        while True:
            try:
                connection, _ = self.listener_.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock_:
                self.connections_.add(connection)
            threading.Thread(target=self.serve_, args=(connection,), daemon=True).start()

    def serve_(self, connection):
        pending = b""
        try:
            while not self.isStopped:
                head = recv_head(connection, pending)
                if not head:
                    break
                line, headers, pending = head
                method, target, _ = line.split(" ", 2)
                body, pending = recv_exactly(connection, pending, int(headers.get("content-length", "0")))
                if not self.handle(connection, method, target, headers, body) or headers.get("connection") == "close":
                    break
        except (OSError, ConnectionError):
            pass
        finally:
            with self.lock_:
                self.connections_.discard(connection)
            connection.close()

    def handle(self, connection, method, target, headers, body):
        """Answers one request; returns whether the connection stays open."""
        raise NotImplementedError


def send_answer(connection, status, headers, body):
    lines = ["HTTP/1.1 %d Status" % status] + ["%s: %s" % header for header in headers] + ["Content-Length: %d" % len(body), "", ""]
    connection.sendall("\r\n".join(lines).encode("latin-1") + body)


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self):
        self.state_ = threading.Condition()
        self.items_ = {}
        self.events_ = []
        self.leases_ = {}
        self.revision_ = 100
        self.lastLease_ = 0
        super().__init__()
        threading.Thread(target=self.expireLeases_, daemon=True).start()

    def put(self, key, value, lease=0):
        """Writes as the operator or a replica does."""
        with self.state_:
            self.put_(key, value if isinstance(value, bytes) else json.dumps(value).encode(), lease)

    def remove(self, key):
        with self.state_:
            self.remove_(key)

    def put_(self, key, value, lease):
        self.revision_ += 1
        created = self.items_[key]["CreateRev"] if key in self.items_ else self.revision_
        item = {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision_, "CreateRev": created, "Lease": lease}
        self.items_[key] = item
        self.events_.append(item)
        self.state_.notify_all()

    def remove_(self, key):
        if self.items_.pop(key, None) is None:
            return
        self.revision_ += 1
        self.events_.append({"Key": key, "Revision": self.revision_, "Deleted": True})
        self.state_.notify_all()

    def endLease_(self, lease):
        del self.leases_[lease]
        for key in [key for key, item in self.items_.items() if item["Lease"] == lease]:
            self.remove_(key)

    def expireLeases_(self):
        while True:
            time.sleep(LEASE_POLL_S)
            with self.state_:
                for lease in [lease for lease, (_, end) in self.leases_.items() if end < now()]:
                    self.endLease_(lease)

    def handle(self, connection, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, answer = self.answer_(method, url.path, query, json.loads(body) if body else {})
        send_answer(connection, status, [("Content-Type", "application/json")], json.dumps(answer).encode())
        return True

    def answer_(self, method, path, query, body):
        with self.state_:
            if path == "/-/kv-key":
                item = self.items_.get(query["Key"])
                return (200, dict(item, CurrentRev=self.revision_)) if item else (404, {})
            if path == "/-/kv-range":
                items = [item for key, item in sorted(self.items_.items()) if key.startswith(query["PathPrefix"]) and key > query.get("after", "")]
                return 200, {"items": items[:500], "MorePages": len(items) > 500, "CurrentRev": self.revision_}
            if path == "/-/kv-watch":
                return self.watch_(query)
            if path == "/-/kv-txn":
                return self.transact_(body)
            if path == "/-/kv-lease":
                self.lastLease_ += 1
                self.leases_[self.lastLease_] = (body["TtlMs"], now() + body["TtlMs"] / 1000)
                return 200, {"Lease": self.lastLease_, "TtlMs": body["TtlMs"]}
            lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
            if lease not in self.leases_:
                return 404, {}
            if path.startswith("/-/kv-keep/"):
                self.leases_[lease] = (self.leases_[lease][0], now() + self.leases_[lease][0] / 1000)
                return 200, {"TtlMs": self.leases_[lease][0]}
            if path.startswith("/-/kv-lease-end/"):
                self.endLease_(lease)
                return 200, {}
            return 404, {}

    def watch_(self, query):
        end = now() + int(query["WaitMs"]) / 1000
        while True:
            events = [event for event in self.events_ if event["Revision"] > int(query["after"]) and event["Key"].startswith(query["PathPrefix"])]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision_}
            self.state_.wait(left)

    def transact_(self, body):
        rows = body.get("ExpectedRev", [])
        if any(self.items_.get(row["Key"], {"Revision": 0})["Revision"] != row["Revision"] for row in rows):
            return 412, {"items": [self.items_.get(row["Key"], {"Key": row["Key"], "Revision": 0}) for row in rows]}
        puts = body.get("Puts", [])
        if any(put.get("Lease", 0) and put["Lease"] not in self.leases_ for put in puts):
            return 404, {}
        for put in puts:
            self.put_(put["Key"], base64.b64decode(put["Value"]), put.get("Lease", 0))
        for key in body.get("Remove", []):
            self.remove_(key)
        return 200, {"Revision": self.revision_}


class Replica(HttpServer):
    """A sound replica. `serveMs` is the time to the first byte of an answer; a stream then sends an event each `eventMs`."""

    def __init__(self, store, record, name, service, zone, slots, serveMs, events=0, eventMs=0, coldMs=0):
        super().__init__()
        self.store_, self.record_, self.name, self.service_, self.zone_, self.slots_ = store, record, name, service, zone, slots
        self.serveMs_, self.events_, self.eventMs_ = serveMs, events, eventMs
        self.coldUntil_ = now() + coldMs / 1000
        self.born_ = int(time.time() * 1000)
        self.sequence_ = 0
        self.running_ = 0
        self.isLeaving = False
        self.runs = {}
        self.register_()
        threading.Thread(target=self.beat_, daemon=True).start()

    def register_(self):
        self.sequence_ += 1
        cold = max(0, int((self.coldUntil_ - now()) * 1000))
        self.store_.put("servers/" + self.name, {"Service": self.service_, "Addr": self.address, "Zone": self.zone_, "Version": "v1", "Slots": self.slots_,
            "State": "draining" if self.isLeaving else "ready", "ColdLeftMs": cold, "Seq": self.sequence_, "born": self.born_})

    def beat_(self):
        born = self.born_
        while True:
            time.sleep(HEARTBEAT_S)
            if self.isStopped or self.born_ != born:
                return
            self.register_()

    def drain(self):
        """Reports that it is leaving. It goes on serving until leave()."""
        self.isLeaving = True
        self.register_()

    def leave(self):
        """Ends, and removes its entry."""
        self.stop()
        self.store_.remove("servers/" + self.name)

    def baseHeaders_(self, request):
        headers = [("X-Ibisturn-Request-Id", request), ("X-Ibisturn-Server-Load", "%d,0,%d" % (self.running_, self.slots_)), ("Keep-Alive", "timeout=60")]
        if self.isLeaving:
            headers += [("Server-Leaving", "1"), ("Connection", "close")]
        return headers

    def handle(self, connection, method, target, headers, body):
        request = headers.get("x-ibisturn-request-id", "")
        if headers.get("x-ibisturn-expect-instance", self.name) != self.name:
            send_answer(connection, 421, [("X-Ibisturn-Instance-Id", self.name), ("X-Ibisturn-Request-Id", request)], b"")
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record_.write("run", self.name, request)
        self.running_ += 1
        try:
            return self.run_(connection, target, headers, request)
        finally:
            self.running_ -= 1

    def run_(self, connection, target, headers, request):
        time.sleep(self.serveMs_ / 1000)
        answer = self.baseHeaders_(request) + [("X-Ibisturn-Server-Seal", "seal." + self.name + "." + request)]
        if self.events_ == 0:
            send_answer(connection, 200, answer + [("Content-Type", "application/json")], b"x" * 800)
            return not self.isLeaving
        self.sendStreamHead_(connection, answer)
        first = int(headers.get("last-event-id", "0")) + 1
        for event in range(first, self.events_ + 1):
            text = b"id: %d\ndata: piece %d\n\n" % (event, event)
            connection.sendall(b"%x\r\n%s\r\n" % (len(text), text))
            time.sleep(self.eventMs_ / 1000)
        connection.sendall(b"0\r\n\r\n")
        return not any(name == "Connection" for name, _ in answer)

    @staticmethod
    def sendStreamHead_(connection, headers):
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % header for header in headers] + ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        connection.sendall("\r\n".join(lines).encode("latin-1"))


def render(template, values):
    """Fills in the parts of the template language of DEPLOY.md that deploy/settings.yaml uses."""

    def lookup(path, scope):
        value = scope
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return value

    def section(match):
        table = lookup(match.group(1), values)
        return "".join(match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(value)) for key, value in table.items())

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1), values)), text)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((LOOPBACK, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def limit_descriptors():
    """Gives a process the descriptors of a front machine. Runs in the child."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Instance:
    """One instance of the gateway, run by the platform: it is restarted after it ends, and killed when it exceeds its memory."""

    def __init__(self, deployment, name, zone):
        self.deployment_, self.name, self.zone = deployment, name, zone
        front, ready, control, directory, peers, metrics = free_ports(6)
        self.front, self.ready, self.directory = [(LOOPBACK, port) for port in (front, ready, directory)]
        values = {"Node": name, "Role": "gateway", "Region": ZONES[zone], "Zone": zone, "Ip": LOOPBACK, "Zones": ZONES, "PortRange": [peers, metrics],
            "Listen": {"Front": "%s:%d" % self.front, "Ready": "%s:%d" % self.ready, "Control": "%s:%d" % (LOOPBACK, control), "Directory": "%s:%d" % self.directory},
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}, "Bounds": BOUNDS, "Platform": {"Addr": deployment.store.address}}
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as template:
            text = render(template.read(), values)
        self.settings_ = os.path.join(deployment.work, name + ".yaml")
        with open(self.settings_, "w", encoding="utf-8") as file:
            file.write(text)
        self.log_ = open(os.path.join(deployment.work, name + ".log"), "ab")
        self.process_ = None
        self.peakMb = 0
        self.ends = []
        self.isStopped_ = False
        self.start_()
        threading.Thread(target=self.supervise_, daemon=True).start()

    def start_(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            words = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()
        words = [self.settings_ if word == "/etc/ibisturn/boot.json" else word for word in words]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["IBISTURN_BOOT"] = self.settings_
        self.process_ = subprocess.Popen(words, cwd=ROOT, env=environment, stdout=self.log_, stderr=self.log_, stdin=subprocess.DEVNULL,
            preexec_fn=limit_descriptors)

    def memoryMb(self):
        try:
            with open("/proc/%d/status" % self.process_.pid, encoding="utf-8") as file:
                found = re.search(r"^VmRSS:\s+(\d+) kB", file.read(), re.M)
                return int(found.group(1)) / 1024 if found else 0
        except OSError:
            return 0

    def descriptors(self):
        try:
            return len(os.listdir("/proc/%d/fd" % self.process_.pid))
        except OSError:
            return 0

    def supervise_(self):
        while not self.isStopped_:
            time.sleep(MEMORY_POLL_S)
            memory = self.memoryMb()
            self.peakMb = max(self.peakMb, memory)
            if memory > MEMORY_MB:
                self.deployment_.record.say("platform: %s uses %.0f MB, over its limit of %d MB, and is killed" % (self.name, memory, MEMORY_MB))
                self.process_.kill()
            status = self.process_.poll()
            if status is None or self.isStopped_:
                continue
            self.ends.append(now())
            self.deployment_.record.say("platform: the process of %s has ended with status %s and is started again" % (self.name, status))
            time.sleep(0.5)
            self.start_()

    def signal(self, number):
        self.process_.send_signal(number)

    def stop(self):
        self.isStopped_ = True
        time.sleep(2 * MEMORY_POLL_S)
        self.process_.kill()
        self.process_.wait()


class Deployment:
    """A store, instances, and the configuration that the operator wrote."""

    def __init__(self, record, configuration):
        self.record = record
        self.work = tempfile.mkdtemp(prefix="ibisturn-review-")
        self.store = Store()
        self.store.put("op/config", configuration)
        self.instances = []

    def addInstance(self, name, zone):
        self.instances.append(Instance(self, name, zone))
        return self.instances[-1]

    def awaitReady(self, seconds=20):
        end = now() + seconds
        for instance in self.instances:
            while not is_ready(instance):
                if now() > end:
                    raise RuntimeError(instance.name + " is not ready")
                time.sleep(0.05)

    def stop(self):
        for instance in self.instances:
            instance.stop()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.work, ignore_errors=True)


def is_ready(instance):
    try:
        with socket.create_connection(instance.ready, timeout=1) as connection:
            connection.settimeout(1)
            connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")
            return connection.recv(4096).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


class Answer:
    """What a client has seen of one request."""

    def __init__(self, request):
        self.request = request
        self.status = None
        self.headers = {}
        self.body = b""
        self.isComplete = False
        self.isKept = False
        self.problem = ""

    def __str__(self):
        return "%s status=%s complete=%s bytes=%d %s" % (self.request, self.status, self.isComplete, len(self.body), self.problem)


class Client:
    """A client that keeps its connection for many requests."""

    def __init__(self, record, instance, label):
        self.record_, self.instance_, self.label_ = record, instance, label
        self.connection_ = None
        self.answered_ = 0
        self.count_ = 0

    def close(self):
        if self.connection_:
            self.connection_.close()
        self.connection_ = None
        self.answered_ = 0

    def send(self, method, path, deadlineMs, headers=(), body=b""):
        """Sends one request and reads its answer. `isKept` says whether the connection had carried an answer before."""
        self.count_ += 1
        answer = Answer("%s-%d" % (self.label_, self.count_))
        try:
            if not self.connection_:
                self.answered_ = 0
                self.connection_ = socket.create_connection(self.instance_.front, timeout=1)
                self.connection_.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connection_.settimeout(deadlineMs / 1000 + 1)
            answer.isKept = self.answered_ > 0
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "X-Ibisturn-Request-Id: " + answer.request, "X-Ibisturn-Deadline-Ms: %d" % deadlineMs,
                "Authorization: Bearer " + KEY] + ["%s: %s" % header for header in headers]
            if method == "POST":
                lines.append("Content-Length: %d" % len(body))
            self.record_.write("sent", answer.request, method, path)
            self.connection_.sendall("\r\n".join(lines + ["", ""]).encode("latin-1") + body)
            self.read_(answer)
        except (OSError, ConnectionError, ValueError) as error:
            answer.problem = str(error) or type(error).__name__
        if answer.isComplete and answer.headers.get("connection") != "close":
            self.answered_ += 1
        else:
            self.close()
        self.record_.write("answered", answer)
        return answer

    def read_(self, answer):
        head = recv_head(self.connection_, b"")
        if not head:
            raise ConnectionError("the connection was closed without an answer")
        line, answer.headers, pending = head
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                while b"\r\n" not in pending:
                    part = self.connection_.recv(65536)
                    if not part:
                        raise ConnectionError("the answer was cut")
                    pending += part
                size, pending = pending.split(b"\r\n", 1)
                part, pending = recv_exactly(self.connection_, pending, int(size, 16) + 2)
                if int(size, 16) == 0:
                    break
                answer.body += part[:-2]
        else:
            answer.body, pending = recv_exactly(self.connection_, pending, int(answer.headers.get("content-length", "0")))
        answer.isComplete = True


def configuration(version=1, routes=None):
    """A configuration of the kind that Thatchline's site has, with one tenant."""
    return {"Version": version,
        "Routes": routes or [
            {"Name": "narrative", "Host": HOST, "PathPrefix": "/narrative/", "Kind": "stream", "TimeoutMs": 12000, "TargetLatencyMs": 1000, "Priority": 1,
                "Service": "ibis-guide", "MaxAttempts": 2, "Public": False, "Sticky": True, "Resumable": True, "GapAimMs": 300, "HomeRegions": []},
            {"Name": "reply", "Host": HOST, "PathPrefix": "/reply/", "Kind": "stream", "TimeoutMs": 3000, "TargetLatencyMs": 1200, "Priority": 0,
                "Service": "ibis-guide", "MaxAttempts": 1, "Public": False, "Sticky": True, "Resumable": False, "GapAimMs": 300, "HomeRegions": []},
            {"Name": "booking", "Host": HOST, "PathPrefix": "/booking/", "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 2,
                "Service": "barnbook", "MaxAttempts": 1, "Public": False, "Sticky": False, "Resumable": False, "HomeRegions": []},
            {"Name": "seats", "Host": HOST, "PathPrefix": "/seats/", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 2,
                "Service": "barnbook", "MaxAttempts": 2, "Public": False, "Sticky": False, "Resumable": False, "HomeRegions": []}],
        "Services": [
            {"Name": "ibis-guide", "HealthPath": "/health", "MaxConns": 630, "Protocol": "h1", "Tls": False, "ColdS": 3.0, "ColdPerS": 4.6,
                "Engine": {"Slots": 128, "KvCapacity": 680435, "KvTokenBytes": 35136, "LinkMbps": 1100000.0, "Stride": 7, "Models": [{"Name": "m"}]}},
            {"Name": "barnbook", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "guides", "ApiKeys": [KEY], "Unit": "token_stream", "PlainTokens": 200, "RatePerS": 0, "Burst": 0, "HomeRegions": []}]}


NARRATIVE_HEADERS = [("X-Ibisturn-Model", "m"), ("X-Ibisturn-Token-Count", "6610,385")]


def narrative_headers(number):
    return NARRATIVE_HEADERS + [("X-Ibisturn-Prompt-Prefix", "%x:5382,%x:1228" % (0x5c1e0700 + number % 12, 0x10000 + number))]


# Exit status of a case whose rule was broken. run.sh turns it into 1, and all but 0 into 2.
BROKEN = 10


def run_case(main):
    """Runs `main(record, hasTrouble)` and exits with BROKEN if it returns True, with 0 if it returns False."""
    # The stand-ins of one case hold more descriptors than the usual soft limit.
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16384) if hard != resource.RLIM_INFINITY else 16384, hard))
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        isBroken = main(record, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:  # Whatever kept the case from running is reported as such.
        record.say("the case could not run:", repr(error))
        sys.stdout.flush()
        os._exit(2)
    record.say("the rule was broken" if isBroken else "the rule held")
    sys.stdout.flush()
    os._exit(BROKEN if isBroken else 0)
