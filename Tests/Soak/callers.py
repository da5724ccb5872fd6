"""The callers of one instance, as a process of its own. They keep their connections until the instance closes them.

Writes one JSON line for each request: its id, when it was sent and when it ended (steady clock), whether the connection had carried an answer
before, the status (0: none), whether the answer was complete, and how it ended.
"""

import collections
import http.client
import json
import random
import socket
import sys
import threading
import time

HOST = "barn.example"
KEY = "soak-key-1"
DEADLINE_S = 2.5
MOST_HELD = 20
PROMPT = {"X-Ibisturn-Model": "m", "X-Ibisturn-Token-Count": "600,40", "X-Ibisturn-Prompt-Prefix": "5c1e07:400,%x:200"}


class Caller:
    def __init__(self, options, number, out, lock):
        self.options_, self.out_, self.lock_ = options, out, lock
        self.name_ = "%s-%d" % (options["name"], number)
        self.random_ = random.Random("%s %s" % (options["seed"], self.name_))
        self.isReading_ = number % 4 != 3 if options["silent"] else True
        self.isLarge_ = number < options["large"]
        # Some keep their side of a connection open until the instance is gone, even if it has asked them to close.
        self.isHolding_ = number % 5 == 4
        self.held_ = collections.deque(maxlen=MOST_HELD)
        self.count_ = 0
        self.connection_ = None
        self.answered_ = 0

    def run(self):
        while time.monotonic() < self.options_["end"]:
            record = self.send_()
            with self.lock_:
                self.out_.write(json.dumps(record) + "\n")
                self.out_.flush()
            if not record["complete"]:
                self.close_()
            time.sleep(0.2 if record["status"] == 0 else self.random_.uniform(0.0, 0.1))

    def close_(self):
        if self.connection_:
            self.connection_.close()
        self.connection_ = None
        self.answered_ = 0

    def send_(self):
        self.count_ += 1
        method, path, headers, body = self.compose_()
        record = {"id": headers["X-Ibisturn-Request-Id"], "path": path, "sent": time.monotonic(), "kept": self.answered_ > 0, "status": 0, "complete": False, "how": ""}
        try:
            if not self.connection_:
                self.connection_ = http.client.HTTPConnection("127.0.0.1", self.options_["port"], timeout=1)
                self.connection_.connect()
                self.connection_.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if self.isHolding_:
                    self.held_.append(self.connection_.sock.dup())
            self.connection_.sock.settimeout(DEADLINE_S + 1)
            self.connection_.request(method, path, body=body, headers=headers)
            if not self.isReading_:
                time.sleep(DEADLINE_S)
            answer = self.connection_.getresponse()
            record["status"] = answer.status
            while answer.read(1 << 20):
                if time.monotonic() > record["sent"] + DEADLINE_S + 2:
                    raise TimeoutError("the answer has no end")
            record["complete"] = answer.length in (None, 0)
            if answer.getheader("Connection", "").lower() == "close":
                self.close_()
            else:
                self.answered_ += 1
        except (TimeoutError, socket.timeout) as error:
            record["how"] = "timeout: %s" % error
        except (OSError, http.client.HTTPException) as error:
            record["how"] = "closed: %s" % (str(error) or type(error).__name__)
        record["end"] = time.monotonic()
        return record

    def compose_(self):
        kind = self.random_.choice(["stream", "resumable", "seats", "book"])
        headers = {"Host": HOST, "X-Ibisturn-Request-Id": "%s-%d" % (self.name_, self.count_), "X-Ibisturn-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": "Bearer " + KEY}
        if kind in ("stream", "resumable"):
            headers.update(PROMPT)
            headers["X-Ibisturn-Prompt-Prefix"] %= self.random_.getrandbits(28)
        path = {"stream": "/stream/plain/1", "resumable": "/stream/again/1", "seats": "/seats/1", "book": "/book/1"}[kind]
        if kind == "seats" and not self.isLarge_:
            return "GET", path, headers, None
        size = self.random_.randint(3 << 20, 4 << 20) if self.isLarge_ else 64
        return "POST", path, headers, b"x" * size


def main():
    options = json.loads(sys.argv[1])
    lock = threading.Lock()
    with open(options["out"], "a", encoding="utf-8") as out:
        threads = [threading.Thread(target=Caller(options, number, out, lock).run) for number in range(options["callers"])]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


if __name__ == "__main__":
    main()
