"""A replica as a process of its own. With --faults it spoils a share of its answers with bytes that end only when the caller closes.

SIGTERM releases it: it reports that it is draining, serves for a while longer, removes its entry and ends.
"""

import argparse
import http.client
import json
import os
import random
import signal
import socket
import threading
import time

HEARTBEAT_S = 1.2
SERVE_AFTER_DRAIN_S = 3.5
BLOCK = 65536
# LinkMbps of a front machine is 1000.
LINK_BYTES_PER_S = 100_000_000
HUGE_LENGTH = 100_000_000_000
PLAIN_FAULTS = ["garbage-head", "endless-head", "chunk-line", "length-body", "chunks", "tiny-chunks", "comments", "events", "other-id", "other-id-length", "after-answer"]
CONTROL_FAULTS = ["reports", "health"]


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(headers):
    return ("\r\n".join(["HTTP/1.1 200 OK"] + ["%s: %s" % header for header in headers]) + "\r\n\r\n").encode()


class Replica:
    def __init__(self, options):
        self.options_ = options
        self.random_ = random.Random(options.seed)
        self.lock_ = threading.Lock()
        self.runs_ = open(options.runs, "a", encoding="utf-8")
        self.listener_ = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address_ = "127.0.0.1:%d" % self.listener_.getsockname()[1]
        self.born_ = int(time.time() * 1000)
        self.sequence_ = 0
        self.isLeaving_ = False
        self.running_ = 0
        self.sent_ = 0
        self.pacedSince_ = time.monotonic()

    def serve(self):
        signal.signal(signal.SIGTERM, lambda *_: threading.Thread(target=self.leave_, daemon=True).start())
        threading.Thread(target=self.beat_, daemon=True).start()
        while True:
            connection, _ = self.listener_.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serveConnection_, args=(connection,), daemon=True).start()

    def store_(self, method, body=None):
        store = http.client.HTTPConnection(self.options_.store, timeout=2)
        try:
            store.request(method, "/entries/servers/" + self.options_.id, body=body)
            store.getresponse().read()
        except OSError as error:
            print("replica: the store can't be reached:", error, flush=True)
        finally:
            store.close()

    def register_(self):
        with self.lock_:
            self.sequence_ += 1
            entry = {"Service": self.options_.service, "Addr": self.address_, "Zone": self.options_.zone, "Version": "v1", "Slots": 64,
                "State": "draining" if self.isLeaving_ else "ready", "ColdLeftMs": 0, "Seq": self.sequence_, "born": self.born_}
            self.store_("PUT", json.dumps(entry))

    def beat_(self):
        while True:
            self.register_()
            time.sleep(HEARTBEAT_S)

    def leave_(self):
        self.isLeaving_ = True
        self.register_()
        time.sleep(SERVE_AFTER_DRAIN_S)
        with self.lock_:
            self.store_("DELETE")
            os._exit(0)

    def serveConnection_(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                line = reader.readline(65536)
                if not line.strip():
                    return
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while (field := reader.readline(65536).strip()):
                    name, value = field.decode("latin-1").split(":", 1)
                    headers[name.lower()] = value.strip()
                self.readBody_(reader, headers)
                if not self.answer_(connection, method, target, headers):
                    return
        except (OSError, ValueError):
            pass  # The caller has closed the connection, which ends every fault.
        finally:
            connection.close()

    @staticmethod
    def readBody_(reader, headers):
        if headers.get("transfer-encoding") != "chunked":
            reader.read(int(headers.get("content-length", "0")))
            return
        while (size := int(reader.readline().split(b";")[0], 16)):
            reader.read(size + 2)
        reader.readline()

    def answer_(self, connection, method, target, headers):
        path = target.split("?")[0]
        if path == "/health":
            return self.answerControl_(connection, "health", b"", [("X-Ibisturn-Instance-Id", self.options_.id), ("X-Ibisturn-Server-Load", "%d,0,64" % self.running_)])
        if path == "/-/report":
            report = {"Stage": "colocated", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Seq": 1, "Waiting": 0,
                "Running": self.running_, "KvUsed": 0, "KvTotal": 680435, "Handles": 0}
            return self.answerControl_(connection, "reports", json.dumps(report).encode(), [("Content-Type", "application/json")])
        if path.startswith("/-/"):
            connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        request = headers.get("x-ibisturn-request-id", "")
        if headers.get("x-ibisturn-expect-instance", self.options_.id) != self.options_.id:
            connection.sendall(head([("X-Ibisturn-Instance-Id", self.options_.id), ("X-Ibisturn-Request-Id", request), ("Content-Length", "0")]).replace(b"200 OK", b"421 Other"))
            return True
        fault = self.chooseFault_(PLAIN_FAULTS)
        self.record_(request, fault or "sound")
        with self.lock_:
            self.running_ += 1
        try:
            time.sleep(self.options_.serve_ms / 1000)
            return self.run_(connection, target, headers, request, fault)
        finally:
            with self.lock_:
                self.running_ -= 1

    def chooseFault_(self, known):
        faults = [fault for fault in self.options_.faults.split(",") if fault in known]
        with self.lock_:
            return self.random_.choice(faults) if faults and self.random_.random() < self.options_.share else None

    def record_(self, request, how):
        with self.lock_:
            self.runs_.write("%.3f %s %s\n" % (time.monotonic(), request, how))
            self.runs_.flush()

    def answerControl_(self, connection, name, body, headers):
        if self.chooseFault_([name]):
            self.record_("-", name)
            how = self.random_.choice(["garbage-head", "endless-head", "chunk-line", "length-body", "chunks"])
            return self.spoil_(connection, how, headers, "")
        connection.sendall(head(headers + [("Content-Length", len(body))]) + body)
        return True

    def run_(self, connection, target, headers, request, fault):
        answer = [("X-Ibisturn-Request-Id", request), ("X-Ibisturn-Server-Seal", "seal.%s.%s" % (self.options_.id, request)),
            ("X-Ibisturn-Server-Load", "%d,0,64" % self.running_), ("Keep-Alive", "timeout=60")]
        if self.isLeaving_:
            answer += [("Server-Leaving", "1"), ("Connection", "close")]
        if fault and fault != "after-answer":
            isStream = target.startswith("/stream/")
            return self.spoil_(connection, fault, answer + [("Content-Type", "text/event-stream" if isStream else "text/plain")], request)
        if target.startswith("/stream/"):
            connection.sendall(head(answer + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
            for event in range(int(headers.get("last-event-id", "0")) + 1, 6):
                connection.sendall(chunk(b"id: %d\ndata: piece %d\n\n" % (event, event)))
                time.sleep(0.05)
            connection.sendall(b"0\r\n\r\n")
        else:
            connection.sendall(head(answer + [("Content-Type", "text/plain"), ("Content-Length", 800)]) + b"x" * 800)
        if fault == "after-answer":
            self.flood_(connection, b"a" * BLOCK)
        return not self.isLeaving_

    def spoil_(self, connection, fault, headers, request):
        chunked = [("Transfer-Encoding", "chunked")]
        sized = [("Content-Length", HUGE_LENGTH)]
        other = [(name, "other-" + value if name == "X-Ibisturn-Request-Id" else value) for name, value in headers]
        start, block = {
            "garbage-head": (b"", self.random_.choice([b"a", b"\x00", b"\xff\n", b"a\r\n"]) * BLOCK),
            "endless-head": (b"HTTP/1.1 200 OK\r\n", b"X-Filling: aaaaaaaa\r\n" * 4096),
            "chunk-line": (head(headers + chunked), b"a" * BLOCK),
            "length-body": (head(headers + sized), b"x" * BLOCK),
            "chunks": (head(headers + chunked), chunk(b"x" * BLOCK)),
            "tiny-chunks": (head(headers + chunked), chunk(b"x") * 8192),
            "comments": (head(headers + chunked), chunk(b": filling\n\n") * 4096),
            "events": (head(headers + chunked), chunk(b"data: filling\n\n") * 4096),
            "other-id": (head(other + chunked), chunk(b"x" * BLOCK)),
            "other-id-length": (head(other + sized), b"x" * BLOCK),
        }[fault]
        connection.sendall(start)
        return self.flood_(connection, block)

    def flood_(self, connection, block):
        while True:
            with self.lock_:
                now = time.monotonic()
                # Time without a flood earns nothing.
                if self.pacedSince_ + self.sent_ / LINK_BYTES_PER_S < now - 0.1:
                    self.sent_, self.pacedSince_ = 0, now
                self.sent_ += len(block)
                wait = self.pacedSince_ + self.sent_ / LINK_BYTES_PER_S - now
            if wait > 0:
                time.sleep(wait)
            connection.sendall(block)


def main():
    parser = argparse.ArgumentParser()
    for name in ("--id", "--service", "--zone", "--store", "--runs"):
        parser.add_argument(name, required=True)
    parser.add_argument("--faults", default="")
    parser.add_argument("--share", type=float, default=0.5)
    parser.add_argument("--serve-ms", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    Replica(parser.parse_args()).serve()


if __name__ == "__main__":
    main()
