"""An instance of the gateway as the platform runs it: restarted after it ends, and killed when it exceeds its memory."""

import os
import random
import re
import resource
import signal
import socket
import subprocess
import threading
import time

MEMORY_MB = 260
MAX_FDS = 4100
RESTART_S = 0.5
POLL_S = 0.03
ZONES = {"khomas-a": "khomas", "omaheke-a": "omaheke"}
BOUNDS = {"DrainMs": 3000, "GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 58, "QuotaWindowS": 8, "QuotaOver": 0.1, "QuotaSlack": 140000}


class Ports:
    """Free ports outside of the range of outgoing connections."""

    def __init__(self, seed):
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="utf-8") as file:
            self.first, self.last = (int(word) for word in file.read().split())
        self.random_ = random.Random("ports %s %d" % (seed, os.getpid()))
        self.taken_ = set()

    def take(self):
        while True:
            port = self.random_.randint(10000, 65000)
            if self.first <= port <= self.last or port in self.taken_:
                continue
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.taken_.add(port)
            return port


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


def unread_bytes(inodes, ports):
    """Bytes that were received on these sockets, or on connections to these ports that were not yet accepted, and not read."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            if fields[3] == "0A":
                continue  # Of a listener, the column counts connections.
            if fields[9] in inodes or (fields[9] == "0" and int(fields[1].split(":")[1], 16) in ports):
                total += int(fields[4].split(":")[1], 16)
    return total


def prepare_process():
    """Gives a process the descriptors of a front machine, and signals as the platform leaves them. Runs in the child."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)


class Instance:
    def __init__(self, name, zone, program, template, ports, store, folder, report, values=None):
        self.name, self.program_, self.folder_, self.report_ = name, program, folder, report
        names = ("front", "ready", "control", "directory", "peers", "metrics")
        self.ports = {each: ports.take() for each in names}
        if values:
            self.ports.update(values)
        address = {each: "127.0.0.1:%d" % port for each, port in self.ports.items()}
        text = render(template, {"Node": name, "Region": ZONES[zone], "Zone": zone, "Ip": "127.0.0.1", "Zones": ZONES,
            "PortRange": [self.ports["peers"], self.ports["metrics"]],
            "Listen": {"Front": address["front"], "Ready": address["ready"], "Control": address["control"], "Directory": address["directory"]},
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}, "Bounds": BOUNDS, "Platform": {"Addr": store}})
        self.settings_ = os.path.join(folder, name + ".yaml")
        with open(self.settings_, "w", encoding="utf-8") as file:
            file.write(text)
        self.logPath = os.path.join(folder, name + ".log")
        self.log_ = open(self.logPath, "ab")
        self.peakMb = 0.0
        self.peakUnreadMb = 0.0
        self.starts = 0
        self.signals = []  # (time, number) of the schedule's signals.
        self.faults = []
        self.isStopped_ = False
        self.endings_ = set()
        self.lock_ = threading.Lock()
        self.start_()
        self.thread_ = threading.Thread(target=self.supervise_, daemon=True)
        self.thread_.start()

    def start_(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["IBISTURN_BOOT"] = self.settings_
        with self.lock_:
            self.endings_ = set()
            self.starts += 1
            self.logStart_ = os.path.getsize(self.logPath)
            self.process_ = subprocess.Popen([self.program_, "serve", "--settings", self.settings_], env=environment, stdin=subprocess.DEVNULL, stdout=self.log_,
                stderr=self.log_, preexec_fn=prepare_process)

    def signal(self, number):
        """Sends a signal of the schedule. An end within it is no fault if it is a TERM or KILL."""
        with self.lock_:
            if self.process_.poll() is not None:
                return False
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.endings_.add(number)
            self.signals.append((time.monotonic(), number))
            self.process_.send_signal(number)
            return True

    def hasEventLoop(self):
        """Whether the process has come so far that it decides itself what a signal does."""
        folder = "/proc/%d/fd" % self.process_.pid
        try:
            return any(os.readlink(os.path.join(folder, each)) == "anon_inode:[eventpoll]" for each in os.listdir(folder))
        except OSError:
            return False

    def memory_(self):
        try:
            with open("/proc/%d/status" % self.process_.pid, encoding="utf-8") as file:
                found = re.search(r"^VmRSS:\s+(\d+) kB", file.read(), re.M)
            inodes = set()
            folder = "/proc/%d/fd" % self.process_.pid
            for each in os.listdir(folder):
                try:
                    target = os.readlink(os.path.join(folder, each))
                except OSError:
                    continue
                if target.startswith("socket:["):
                    inodes.add(target[8:-1])
            return (int(found.group(1)) / 1024 if found else 0.0), unread_bytes(inodes, set(self.ports.values())) / 1048576
        except OSError:
            return 0.0, 0.0

    def supervise_(self):
        isOver = False
        while not self.isStopped_:
            time.sleep(POLL_S)
            resident, unread = self.memory_()
            self.peakMb = max(self.peakMb, resident + unread)
            self.peakUnreadMb = max(self.peakUnreadMb, unread)
            if resident + unread > MEMORY_MB and not isOver:
                isOver = True
                self.report_("platform", "%s holds %.0f MB resident and %.0f MB unread, over its limit of %d MB: killed" % (self.name, resident, unread, MEMORY_MB))
                self.process_.kill()
            status = self.process_.poll()
            if status is None or self.isStopped_:
                continue
            # A planned stop ends with status 0, or by its own signal before the process handles it.
            isPlanned = not isOver and ((signal.SIGTERM in self.endings_ and status in (0, -signal.SIGTERM)) or (signal.SIGKILL in self.endings_ and status == -signal.SIGKILL))
            if not isPlanned:
                self.faults.append(time.monotonic())
                self.report_("FAULT", "%s ended with status %d%s, peak %.0f MB; last log lines: %s" % (self.name, status,
                    " (memory)" if isOver else "", self.peakMb, self.lastLines_()))
            isOver = False
            time.sleep(RESTART_S)
            if not self.isStopped_:
                self.start_()

    def lastLines_(self):
        with open(self.logPath, "rb") as file:
            file.seek(max(self.logStart_, os.path.getsize(self.logPath) - 1500))
            return " | ".join(line[:200] for line in file.read().decode("utf-8", "replace").splitlines()[-3:])

    def isReady(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ports["ready"]), timeout=1) as connection:
                connection.settimeout(1)
                connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")
                return connection.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def awaitReady(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.isReady():
                return True
            time.sleep(0.05)
        return False

    def stop(self):
        self.isStopped_ = True
        self.thread_.join(2)
        with self.lock_:
            if self.process_.poll() is None:
                self.process_.kill()
            self.process_.wait()
        self.log_.close()
