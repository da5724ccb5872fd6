#!/usr/bin/env python3
"""Callers that send requests without end to one listener of an instance, as many as it lets in. Usage: UnboundedRequestsTest.py FOLDER CASE LISTENER.

The process must live, stay within the memory and the descriptors of its settings, and answer an ordinary request afterwards. Its memory is what
it has resident and what it has received and not read, as the platform counts it.
"""

import os
import socket
import sys
import time
import types

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "Soak"))

import instance  # noqa: E402
import soak  # noqa: E402

MEMORY_MB = 64
MAX_FDS = 4100
CROWD = 600
ROUNDS = 100
BLOCK = 8192
# Below the limit of what an instance keeps of a message that it can't parse yet, so that it goes on waiting.
STALLED_BYTES = 72 * 1024


class Caller:
    """One connection, which sends the head of a request and then blocks of the same bytes."""

    def __init__(self, port, head, block, most):
        self.block_, self.left_ = block, most
        self.socket_ = socket.socket()
        self.socket_.setblocking(False)
        self.socket_.connect_ex(("127.0.0.1", port))
        self.pending_ = head

    def advance(self):
        """Sends what the connection takes. Nothing is read, so that an answer does not end it."""
        if self.socket_ is None:
            return
        try:
            while self.pending_ or self.left_ > 0:
                if not self.pending_:
                    self.pending_ = self.block_[: self.left_]
                    self.left_ -= len(self.pending_)
                self.pending_ = self.pending_[self.socket_.send(self.pending_) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def close(self):
        if self.socket_:
            self.socket_.close()
        self.socket_ = None


def head_of(listener, fields):
    target = {"front": "POST /book/1", "directory": "GET /-/resolve?Name=barn.example&Region=khomas&Zone=khomas-a", "ready": "GET /-/ready"}[listener]
    common = f"{target} HTTP/1.1\r\nHost: {soak.HOST}\r\nAuthorization: Bearer {soak.KEY}\r\nX-Ibisturn-Request-Id: 00000000000000aa\r\nX-Ibisturn-Deadline-Ms: 3000\r\n"
    return (common + fields + "\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked\r\n"
UNLIMITED = 1 << 40
# The head, the bytes after it, and how many of these a caller sends.
CASES = {
    "trailers": (CHUNKED, b"3\r\nabc\r\n0\r\n", b"a: b\r\n" * (BLOCK // 6), UNLIMITED),
    "stalled-trailers": (CHUNKED, b"3\r\nabc\r\n0\r\n", b"a: b\r\n" * (BLOCK // 6), STALLED_BYTES),
    "short-trailers": (CHUNKED, b"3\r\nabc\r\n0\r\n" + b"a:\r\n" * 16000 + b"\r\n", b"GET / HTTP/1.1\r\n", 0),
    "stalled-chunk-line": (CHUNKED, b"3;", b"x" * BLOCK, STALLED_BYTES),
    "announced-body": ("Content-Length: 1099511627776\r\n", b"", b"x" * BLOCK, UNLIMITED),
    "sent-body": (CHUNKED, b"", b"1000\r\n" + b"x" * 4096 + b"\r\n", UNLIMITED),
    "many-fields": ("a:\r\n" * 1500 + CHUNKED, b"3\r\n", b"", 0),
    "bytes-behind": ("Content-Length: 3\r\n", b"abc", b"x" * BLOCK, UNLIMITED),
}


def descriptors_of(process):
    try:
        return len(os.listdir(f"/proc/{process.pid}/fd"))
    except FileNotFoundError:
        return 0  # The process has ended, which its supervisor reports.


def main():
    folder, case, listener = sys.argv[1:4]
    instance.MEMORY_MB, instance.MAX_FDS = MEMORY_MB, MAX_FDS
    with open(os.path.join(HERE, "..", "..", "deploy", "settings.yaml"), encoding="utf-8") as file:
        template = file.read()
    options = types.SimpleNamespace(seed=case, bin=os.path.abspath(folder), stand_ins=os.path.join(os.path.abspath(folder), "Tests"), templateText=template)
    run = soak.Run(options, "terms", 0)
    callers = []
    try:
        run.store = run.startStore_()
        run.put("op/config", soak.configuration())
        run.addReplica("app")
        front = run.addInstance("front-khomas", "khomas-a")
        if not front.awaitReady(soak.START_S):
            sys.exit("the instance is not ready")
        while run.statusOf(front, "/seats/1") != 200:
            time.sleep(0.1)
        fields, first, block, most = CASES[case]
        head = head_of(listener, fields) + first
        most_descriptors = 0
        for _ in range(ROUNDS):
            if len(callers) < CROWD:
                callers += [Caller(front.ports[listener], head, block, most) for _ in range(50)]
            for caller in callers:
                caller.advance()
            time.sleep(0.02)
            if front.faults:
                break
            most_descriptors = max(most_descriptors, descriptors_of(front.process_))
        time.sleep(0.2)
        peak, unread = front.peakMb, front.peakUnreadMb
        for caller in callers:
            caller.close()
        status = 0
        for _ in range(100):
            status = run.statusOf(front, "/seats/1")
            if status == 200 and front.isReady():
                break
            time.sleep(0.1)
        print(f"case={case} listener={listener} peak_mb={peak:.1f} unread_mb={unread:.1f} descriptors={most_descriptors} status={status} faults={len(front.faults)}")
        if front.faults:
            sys.exit(f"the process ended, or held more than {MEMORY_MB} MB")
        if most_descriptors > MAX_FDS:
            sys.exit(f"the process had {most_descriptors} descriptors, where it may have {MAX_FDS}")
        if status != 200:
            sys.exit("an ordinary request is not answered afterwards")
    finally:
        for caller in callers:
            caller.close()
        run.stop()


if __name__ == "__main__":
    main()
