#!/usr/bin/env python3
"""Plays seeded scenarios with the real program under a stand-in platform, and counts FAULT and LOST as the platform's rules do.

FAULT: a process ended, and not by a SIGTERM or SIGKILL of the schedule, or an instance did not know a confirmed configuration in time. LOST: a request from a kept connection was passed on to a sound replica
and its connection ended without an answer; around a planned stop or a SIGHUP also any request that a sound replica ran and that has no complete answer.
Not counted are requests within STABLE_S of a SIGKILL or a pause, those that end after the grace, and those that a faulty replica spoiled. Exits with 1 if a FAULT or more than MOST_LOST occurred.
"""

import argparse
import collections
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from callers import DEADLINE_S, HOST, KEY
from instance import BOUNDS, Instance, Ports
from replica import CONTROL_FAULTS, PLAIN_FAULTS

HERE = os.path.dirname(os.path.abspath(__file__))
STABLE_S = 5.0
GRACE_S = BOUNDS["GraceS"]
MOST_LOST = 3
CALLERS = 16
LARGE_CALLERS = 40
START_S = 15
APPLY_S = 3

Scenario = collections.namedtuple("Scenario", "faults silent large schedule")


def configuration(version=1, added=()):
    """The operator's configuration; `added` are the numbers of further routes."""

    def route(name, path, kind, service, attempts, **more):
        return dict({"Name": name, "Host": HOST, "PathPrefix": path, "Kind": kind, "TimeoutMs": 5000, "TargetLatencyMs": 500, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, "Public": False, "Sticky": False, "Resumable": False, "HomeRegions": []}, **more)

    return {"Version": version,
        "Routes": [route("added-%d" % number, "/added/%d/" % number, "idempotent", "app", 2) for number in added] + [route("plain", "/stream/plain/", "stream", "model", 1, Sticky=True, GapAimMs=300), route("again", "/stream/again/", "stream", "model", 2, Sticky=True, Resumable=True, GapAimMs=300),
            route("seats", "/seats/", "idempotent", "app", 2), route("book", "/book/", "non_idempotent", "app", 1)],
        "Services": [{"Name": "model", "HealthPath": "/health", "MaxConns": 600, "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0,
                "Engine": {"Slots": 64, "KvCapacity": 680435, "KvTokenBytes": 35136, "LinkMbps": 1100000.0, "Stride": 7, "Models": [{"Name": "m"}]}},
            {"Name": "app", "HealthPath": "/health", "MaxConns": 600, "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "guides", "ApiKeys": [KEY], "Unit": "token_stream", "PlainTokens": 200, "RatePerS": 0, "Burst": 0, "HomeRegions": []}]}


class Run:
    """One scenario: its processes, its schedule and what was found."""

    def __init__(self, options, name, seconds):
        self.options_, self.name, self.seconds_ = options, name, seconds
        self.scenario_ = SCENARIOS[name]
        self.random = random.Random("%s %s" % (options.seed, name))
        self.folder = tempfile.mkdtemp(prefix="soak-%s-" % name)
        self.start_ = time.monotonic()
        self.processes_ = []
        self.instances = []
        self.replicas_ = {}
        self.replicaCount_ = 0
        self.ports = Ports(options.seed)
        self.problems = []
        self.lock_ = threading.Lock()

    def report(self, kind, text, when=None):
        with self.lock_:
            print("%s %s seed=%s t=%.2f %s" % (kind, self.name, self.options_.seed, (when or time.monotonic()) - self.start_, text), flush=True)

    def problem(self, text):
        self.problems.append(text)
        self.report("FAULT", text)

    def startProcess_(self, name, words):
        log = open(os.path.join(self.folder, name + ".out"), "ab")
        process = subprocess.Popen(words, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=HERE)
        log.close()
        self.processes_.append(process)
        return process

    def startStore_(self):
        self.startProcess_("store", [os.path.join(self.options_.stand_ins, "ibisturn-stand-ins"), "platform-store"])
        path = os.path.join(self.folder, "store.out")
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            with open(path, encoding="utf-8") as file:
                for line in file:
                    if line.startswith("listening "):
                        return line.split()[1]
            time.sleep(0.02)
        raise RuntimeError("the store did not start")

    def put(self, key, value):
        connection = http.client.HTTPConnection(self.store, timeout=5)
        connection.request("PUT", "/entries/" + key, body=json.dumps(value))
        connection.getresponse().read()
        connection.close()

    def setStore(self, **faults):
        connection = http.client.HTTPConnection(self.store, timeout=5)
        connection.request("POST", "/faults", body=json.dumps(faults))
        connection.getresponse().read()
        connection.close()

    def statusOf(self, instance, path):
        """The status of one request to an instance; 0 if it does not answer."""
        connection = http.client.HTTPConnection("127.0.0.1", instance.ports["front"], timeout=5)
        try:
            connection.request("GET", path, headers={"Host": HOST, "Authorization": "Bearer " + KEY, "X-Ibisturn-Deadline-Ms": "3000",
                "X-Ibisturn-Request-Id": "%016x" % random.getrandbits(64)})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def addReplica(self, service, faults=()):
        self.replicaCount_ += 1
        name = "i-%s-%d" % (service, self.replicaCount_)
        words = [sys.executable, "replica.py", "--id", name, "--service", service, "--zone", "khomas-a", "--store", self.store, "--runs", os.path.join(self.folder, "runs"),
            "--seed", "%d" % self.random.getrandbits(30), "--faults", ",".join(faults)]
        self.replicas_[name] = (service, self.startProcess_(name, words))

    def release(self):
        """Replaces a sound replica: a new one starts, an old one drains."""
        name = self.random.choice([each for each in self.replicas_ if "faulty" not in each])
        service, process = self.replicas_.pop(name)
        self.addReplica(service)
        process.send_signal(signal.SIGTERM)

    def addInstance(self, name, zone, values=None):
        instance = Instance(name, zone, os.path.join(self.options_.bin, "ibisturn"), self.options_.templateText, self.ports, self.store, self.folder, self.report, values)
        self.instances.append(instance)
        return instance

    def play(self):
        self.store = self.startStore_()
        self.put("op/config", configuration())
        for service in ("model", "app"):
            self.addReplica(service)
            self.addReplica(service)
            if self.scenario_.faults:
                self.replicaCount_ += 1
                name = "faulty-" + service
                self.startProcess_(name, [sys.executable, "replica.py", "--id", name, "--service", service, "--zone", "khomas-a", "--store", self.store, "--runs",
                    os.path.join(self.folder, "runs"), "--seed", "%d" % self.random.getrandbits(30), "--faults", ",".join(self.scenario_.faults)])
        # The second instance has no replica in its region, and forwards.
        for name, zone in (("front-khomas", "khomas-a"), ("front-omaheke", "omaheke-a")):
            self.addInstance(name, zone)
        for instance in self.instances:
            if not instance.awaitReady(START_S):
                self.problem("%s is not ready %d s after its start" % (instance.name, START_S))
                return
        time.sleep(1.0)
        end = time.monotonic() + self.seconds_
        callers = []
        for instance in list(self.instances):
            # The burst comes to one instance, beside the usual callers.
            large = LARGE_CALLERS if self.scenario_.large and not callers else 0
            words = {"name": instance.name, "port": instance.ports["front"], "seed": self.options_.seed, "callers": CALLERS + large, "silent": self.scenario_.silent,
                "large": large, "end": end, "out": os.path.join(self.folder, instance.name + ".requests")}
            callers.append(self.startProcess_("callers-" + instance.name, [sys.executable, "callers.py", json.dumps(words)]))
        if self.scenario_.schedule:
            self.scenario_.schedule(self, end)
        for process in callers:
            process.wait(timeout=self.seconds_ + 30)

    def stop(self):
        for instance in self.instances:
            instance.stop()
        for process in self.processes_:
            if process.poll() is None:
                process.kill()
            process.wait()

    def judge(self):
        runs = {True: set(), False: set()}
        spoiled = 0
        try:
            with open(os.path.join(self.folder, "runs"), encoding="utf-8") as file:
                for line in file:
                    _, request, how = line.split()
                    runs[how == "sound"].add(request)
                    spoiled += how != "sound"
        except FileNotFoundError:
            pass
        soundRuns = runs[True] - runs[False]
        total = complete = ok = lost = 0
        for instance in self.instances:
            try:
                with open(os.path.join(self.folder, instance.name + ".requests"), encoding="utf-8") as file:
                    records = [json.loads(line) for line in file]
            except FileNotFoundError:
                continue
            for record in records:
                total += 1
                complete += record["complete"]
                ok += record["complete"] and record["status"] == 200
                if record["id"] in soundRuns and self.isLost_(record, instance):
                    lost += 1
                    self.report("LOST", "%s of %s sent t=%.2f kept=%s status=%d %s" % (record["id"], instance.name, record["sent"] - self.start_, record["kept"],
                        record["status"], record["how"]), record["end"])
        faults = sum(len(instance.faults) for instance in self.instances) + len(self.problems)
        peak = max((instance.peakMb for instance in self.instances), default=0)
        unread = max((instance.peakUnreadMb for instance in self.instances), default=0)
        starts = sum(instance.starts for instance in self.instances)
        print("RESULT scenario=%s seed=%s FAULT=%d LOST=%d complete=%d ok=%d of=%d peak_mb=%.0f unread_mb=%.0f starts=%d spoiled=%d" % (self.name, self.options_.seed, faults, lost,
            complete, ok, total, peak, unread, starts, spoiled), flush=True)
        if self.scenario_.faults and spoiled == 0:
            self.report("UNPLAYED", "the faulty replicas were never asked")
            return False
        return faults == 0 and lost <= MOST_LOST and total > 0

    def isLost_(self, record, instance):
        if record["complete"] or not record["how"].startswith("closed"):
            return False
        if self.isDisrupted_(record, [instance]):
            return False
        if record["kept"] and record["status"] == 0 and not any(number == signal.SIGTERM and when <= record["end"] for when, number in instance.signals):
            return True
        if self.isDisrupted_(record, self.instances) or record["end"] - record["sent"] >= DEADLINE_S:
            return False
        return any(self.isWithinPlannedWork_(record, when, number) for when, number in instance.signals)

    @staticmethod
    def isDisrupted_(record, instances):
        """Whether an unplanned disruption came from STABLE_S before the request to its end."""
        return any(number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT) and record["sent"] - STABLE_S <= when <= record["end"]
            for instance in instances for when, number in instance.signals)

    @staticmethod
    def isWithinPlannedWork_(record, when, number):
        if number == signal.SIGHUP:
            return record["sent"] <= when + APPLY_S and when <= record["end"]
        if number != signal.SIGTERM or not when <= record["end"] <= when + GRACE_S + 1:
            return False
        return record["sent"] > when + 3 or record["end"] < when + GRACE_S * 5 / 6


def each_step(run, end, shortest, longest):
    """Yields at seeded times until a little before the end."""
    while True:
        pause = run.random.uniform(shortest, longest)
        if time.monotonic() + pause > end - 1:
            return
        time.sleep(pause)
        yield


def play_terms(run, end):
    for _ in each_step(run, end, 1.0, 4.0):
        run.random.choice(run.instances).signal(signal.SIGTERM)


def play_kills(run, end):
    for _ in each_step(run, end, 1.0, 3.0):
        run.random.choice(run.instances).signal(signal.SIGKILL)


def play_pauses(run, end):
    for _ in each_step(run, end, 1.0, 3.0):
        instance = run.random.choice(run.instances)
        if instance.signal(signal.SIGSTOP):
            time.sleep(run.random.uniform(0.2, 3.0))
            instance.signal(signal.SIGCONT)


def play_hups(run, end, isAtExec=False):
    """SIGHUP at any time, and as soon as a process that starts has its event loop, or (isAtExec) within its first milliseconds."""
    for step, _ in enumerate(each_step(run, end, 0.3, 0.8)):
        instance = run.random.choice(run.instances)
        instance.signal(signal.SIGHUP)
        starts = instance.starts
        if step % 2 == 0 or not instance.signal(signal.SIGKILL):
            continue
        limit = time.monotonic() + 3
        while time.monotonic() < limit and (instance.starts == starts or not (isAtExec or instance.hasEventLoop())):
            time.sleep(0.0005)
        time.sleep(run.random.choice([0.0, 0.002, 0.01, 0.03]))
        instance.signal(signal.SIGHUP)


def play_hups_at_exec(run, end):
    play_hups(run, end, isAtExec=True)


def play_releases(run, end):
    for _ in each_step(run, end, 0.7, 2.0):
        run.release()


def require_routes(run, added, acknowledged, when):
    """Each instance that was not disrupted lately knows the added routes: those known before at once, the others APPLY_S after their acknowledgement."""
    for instance in run.instances:
        if any(time.monotonic() - at < STABLE_S for at, _ in instance.signals):
            continue
        for number in added:
            if time.monotonic() < acknowledged[number] + APPLY_S:
                continue
            status = run.statusOf(instance, "/added/%d/" % number)
            if status in (401, 403, 404):
                run.problem("%s answers %d on the added route %d, acknowledged %.1f s before, %s" % (instance.name, status, number, time.monotonic() - acknowledged[number], when))


def play_store_returns(run, end):
    """The store is away for a moment and comes back from a copy that lacks the last configurations, which the operator then writes again."""
    added, acknowledged = [], {}

    def add():
        added.append(len(added) + 1)
        run.put("op/config", configuration(len(added) + 1, added))
        acknowledged[added[-1]] = time.monotonic()

    add()
    while time.monotonic() + APPLY_S + 7 < end:
        run.setStore(copy=True)
        for _ in range(run.random.randint(1, 3)):
            time.sleep(run.random.uniform(0.1, 0.7))
            add()
        time.sleep(run.random.choice([0.1, APPLY_S + 0.2]))
        require_routes(run, added, acknowledged, "before the store is away")
        run.setStore(down=True)
        time.sleep(run.random.uniform(0.1, 2.0))
        run.setStore(restore=True, down=False)
        writesAgainAt = time.monotonic() + run.random.uniform(0.05, 2.0)
        while time.monotonic() < writesAgainAt:
            require_routes(run, added, acknowledged, "after the store's return")
            time.sleep(0.1)
        run.put("op/config", configuration(len(added) + 1, added))
        # What an instance had not learned before the return is acknowledged anew.
        for number in added:
            if time.monotonic() < acknowledged[number] + APPLY_S + STABLE_S:
                acknowledged[number] = time.monotonic()
        add()
        time.sleep(APPLY_S + 0.2)
        require_routes(run, added, acknowledged, "after the operator has written again")


def play_store_returns_beside(run, end):
    """Returns of the store while instances stop, are killed and paused, and replicas are replaced."""
    threads = [threading.Thread(target=play, args=(run, end)) for play in (play_store_returns, play_terms, play_kills, play_pauses, play_releases)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play_all(run, end):
    """Everything at once, overlapping."""
    threads = [threading.Thread(target=play, args=(run, end)) for play in (play_terms, play_kills, play_pauses, play_hups, play_releases)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def sockets_of(port):
    """The remote address and the state of each socket with this local port, as /proc/net/tcp writes them."""
    with open("/proc/net/tcp", encoding="utf-8") as file:
        rows = [line.split() for line in list(file)[1:]]
    return ["%s %s" % (row[2], row[3]) for row in rows if int(row[1].split(":")[1], 16) == port]


def play_port_in_use(run, end):
    """Instances start whose listen port is the local port of somebody's open connection, which closes after three seconds."""
    parts = ["front", "ready", "directory", "peers", "metrics"]
    run.random.shuffle(parts)
    for number, part in enumerate(parts):
        if number > 0 and time.monotonic() + 5 > end:
            return
        server = socket.create_server(("127.0.0.1", 0))
        # The kernel may give a port of its range to connections of several programs, which would still hold it at the end.
        connection = socket.socket()
        connection.bind(("127.0.0.1", run.ports.take()))
        connection.connect(server.getsockname())
        other, _ = server.accept()
        late = run.addInstance("front-late-" + part, "khomas-a", {part: connection.getsockname()[1]})
        time.sleep(3.0)
        # The end that closes last keeps no address in TIME_WAIT.
        other.close()
        connection.close()
        server.close()
        if not late.awaitReady(8):
            run.problem("%s is not ready 8 s after its %s port became free; sockets with the port: %s" % (late.name, part, sockets_of(late.ports[part])))
        late.stop()


SCENARIOS = {"calm": Scenario((), False, False, None)}
SCENARIOS.update({name: Scenario((name,), False, False, None) for name in PLAIN_FAULTS})
SCENARIOS.update({name + "-silent": Scenario((name,), True, False, None) for name in ("length-body", "chunks", "comments", "other-id")})
SCENARIOS.update({
    "faults": Scenario(tuple(PLAIN_FAULTS + CONTROL_FAULTS), True, False, None),
    "terms": Scenario((), False, False, play_terms),
    "kills": Scenario((), False, False, play_kills),
    "pauses": Scenario((), False, False, play_pauses),
    "hups": Scenario((), False, False, play_hups),
    "hups-at-exec": Scenario((), False, False, play_hups_at_exec),
    "releases": Scenario((), False, False, play_releases),
    "large-bodies": Scenario((), False, True, None),
    "port-in-use": Scenario((), False, False, play_port_in_use),
    "store-returns": Scenario((), False, False, play_store_returns),
    "store-returns-beside": Scenario((), False, False, play_store_returns_beside),
    "all": Scenario(tuple(PLAIN_FAULTS + CONTROL_FAULTS), True, False, play_all),
})


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bin", required=True, help="folder of the built program")
    parser.add_argument("--stand-ins", help="folder of ibisturn-stand-ins (default: Tests in --bin)")
    parser.add_argument("--template", default=os.path.join(HERE, "..", "..", "deploy", "settings.yaml"))
    parser.add_argument("--seconds", type=float, default=300, help="of all scenarios together, without their starts")
    parser.add_argument("--seed", type=int, default=1)
    # A signal before main() has its default action, so hups-at-exec is played by its name only.
    parser.add_argument("--scenario", default=",".join(name for name in SCENARIOS if name != "hups-at-exec"))
    parser.add_argument("--keep-logs", metavar="DIR")
    options = parser.parse_args()
    options.bin = os.path.abspath(options.bin)
    options.stand_ins = os.path.abspath(options.stand_ins or os.path.join(options.bin, "Tests"))
    with open(options.template, encoding="utf-8") as file:
        options.templateText = file.read()
    names = options.scenario.split(",")
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        parser.error("unknown scenario %s; known: %s" % (unknown[0], ", ".join(SCENARIOS)))
    failed = []
    for name in names:
        run = Run(options, name, options.seconds / len(names))
        try:
            run.play()
        finally:
            run.stop()
        if not run.judge():
            failed.append(name)
        if options.keep_logs:
            shutil.copytree(run.folder, os.path.join(options.keep_logs, name), dirs_exist_ok=True)
        shutil.rmtree(run.folder)
    if failed:
        print("soak: failed: %s (seed %d)" % (", ".join(failed), options.seed))
        return 1
    print("soak: ok: %s (seed %d)" % (", ".join(names), options.seed))
    return 0


if __name__ == "__main__":
    sys.exit(main())
