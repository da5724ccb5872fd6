#!/usr/bin/env python3
"""Tests that an odd entry of the store costs itself alone: one instance of a fleet as a process, with a stand-in of the platform's store that
lists its entries in small pages. Usage: OddEntryTest.py FOLDER ENTRY MOMENT, the folder of the built programs, an entry of ODD_ENTRIES and
`before` (it is there when the instance starts) or `while` (it is written while the instance runs)."""

import base64
import http.client
import json
import os
import subprocess
import sys
import tempfile
import urllib.parse

from checks import Failure, await_that, free_port, require

FOLDER, ENTRY, MOMENT = os.path.abspath(sys.argv[1]), sys.argv[2], sys.argv[3]
PAGE = 10
GOOD_ENTRIES = 35
REQUESTS = 30
LISTENERS = ("callers", "peers", "readiness", "directory", "metrics")
# Sorts after the first entries, so that it is the last of the first page.
PLACE = "servers/i-09"


def item(key, **fields):
    whole = {"Key": key, "Value": base64.b64encode(b"{}").decode(), "Revision": 8, "CreateRev": 8, "Lease": 0}
    whole.update(fields)
    return json.dumps({name: value for name, value in whole.items() if value is not None})


def named(*names):
    """Entries with these names, which are otherwise whole but describe no server."""
    return [("entries", name, b"{}") for name in names]


def shown(name, text):
    """An entry that listings and watches show as this text."""
    return [("items", name, text.encode() if isinstance(text, str) else text)]


ODD_ENTRIES = {
    "blank": named(PLACE + " a"),
    "line-break": named(PLACE + "\na"),
    "ampersand": named(PLACE + "&a"),
    "several-ampersands": named(*(f"{PLACE}&{number:02}" for number in range(PAGE + 3))),
    "plus": named(PLACE + "+a"),
    "hash": named(PLACE + "#a"),
    # They fill the first page. The name of the last one, if it is decoded, sorts after all others.
    "escape": named(*(f"servers/!{number}" for number in range(1, PAGE)), "servers/%6B"),
    "other-characters": named(*(PLACE + character for character in '=?/"\\\x00')),
    "letter": named(PLACE + "\u00e9"),
    "value-missing": shown(PLACE + "a", item(PLACE + "a", Value=None)),
    "value-number": shown(PLACE + "a", item(PLACE + "a", Value=7)),
    "key-missing": shown(PLACE + "a", item(None)),
    "key-list": shown(PLACE + "a", item([])),
    "revision-missing": shown(PLACE + "a", item(PLACE + "a", Revision=None)),
    "revision-text": shown(PLACE + "a", item(PLACE + "a", Revision="8")),
    "revision-huge": shown(PLACE + "a", item(PLACE + "a", Revision=2**62)),
    "number-overflow": shown(PLACE + "a", item(PLACE + "a").replace('"Lease": 0', '"Lease": 1e999')),
    "deleted-text": shown(PLACE + "a", item(PLACE + "a", Deleted="yes")),
    "no-object": shown(PLACE + "a", "[null, 7]"),
    "unreadable-key": shown(PLACE + "a", item(PLACE + "a").encode().replace(b"i-09a", b"i-09\xff\xfe")),
    "half-surrogate": shown(PLACE + "a", item(PLACE + "a").replace("i-09a", "i-09\\udcff")),
    "operators-key-missing": shown("op/a", item(None)),
    "operators-value-missing": shown("op/a", item("op/a", Value=None)),
    "operators-unreadable-key": shown("op/a", item("op/a").encode().replace(b"op/a", b"op/\xff")),
}


def call(address, method, target, body=None, headers=None):
    """Returns the status and the body, or no status if there is no answer."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, target, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None, b""
    finally:
        connection.close()


def configuration(version, paths):
    services = sorted(set(paths.values()))
    return {
        "Version": version,
        "Routes": [{"Name": path, "Host": "barn.example", "PathPrefix": f"/{path}/", "Kind": "idempotent", "TimeoutMs": 2000,
                    "TargetLatencyMs": 300, "Service": service, "MaxAttempts": 2} for path, service in paths.items()],
        "Services": [{"Name": name, "MaxConns": 100} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


class Fixture:
    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        self.ports = {name: free_port() for name in LISTENERS}
        self.sent = 0
        self.store = self.start_stand_in("store", "platform-store")

    def start(self, name, words):
        with open(os.path.join(self.folder, name + ".log"), "wb") as log:
            self.processes.append(subprocess.Popen(words, stdout=log, stderr=log))

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def start_stand_in(self, name, *words):
        self.start(name, [os.path.join(FOLDER, "Tests", "ibisturn-stand-ins"), *words])
        await_that(lambda: "\n" in self.log(name), f"the stand-in {name} does not listen")
        return self.log(name).split()[1]

    def start_replica(self, name, service):
        self.start_stand_in(name, "replica", "--id", name, "--service", service, "--zone", "khomas-a", "--store", self.store)

    def start_instance(self):
        at = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        settings = os.path.join(self.folder, "settings.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(f"""instance: barn
region: khomas
data_centre: khomas-a
callers: {{listen: "{at['callers']}"}}
peers: {{listen: "{at['peers']}"}}
platform:
  store: {{kind: platform, endpoints: ["{self.store}"], prefix: ibisturn/}}
fleet:
  dialect: platform
  readiness: "{at['readiness']}"
  directory: {{listen: "{at['directory']}", lifetime: 2s}}
  metrics: {{listen: "{at['metrics']}"}}
  data_centres: [{{name: khomas-a, region: khomas}}]
  allowance: {{window: 8s, tolerance: 0.1, slack: 1000}}
  shutdown: {{backend_drain: 1s, grace: 3s}}
""")
        self.start("instance", [os.path.join(FOLDER, "ibisturn"), "serve", "--settings", settings])
        readiness = at["readiness"]
        await_that(lambda: call(readiness, "GET", "/-/ready")[0] == 200, "the instance is not ready")

    def put(self, kind, key, body):
        status, _ = call(self.store, "PUT", f"/{kind}/{urllib.parse.quote(key)}", body)
        require(status == 200, f"the stand-in store refuses the entry {key!r}")

    def put_configuration(self, version, paths):
        self.put("entries", "op/config", json.dumps(configuration(version, paths)))

    def is_served(self, path):
        self.sent += 1
        headers = {"Host": "barn.example", "X-Ibisturn-Request-Id": f"request-{self.sent}", "X-Ibisturn-Deadline-Ms": "3000"}
        return call(f"127.0.0.1:{self.ports['callers']}", "GET", f"/{path}/1", headers=headers)[0] == 200

    def odd_items(self):
        _, text = call(f"127.0.0.1:{self.ports['metrics']}", "GET", "/metrics")
        return sum(float(line.split()[1]) for line in text.decode().splitlines() if line.startswith("ibisturn_odd_store_items "))

    def end(self):
        for process in self.processes:
            process.kill()
            process.wait()


def put_good_entries(fixture):
    """Entries of a service that nobody asks for, among them the ones before and after the odd entry."""
    for number in range(1, GOOD_ENTRIES + 1):
        entry = {"Service": "idle", "Addr": "127.0.0.1:9", "Zone": "khomas-a", "Version": "v1", "Slots": 8, "State": "draining",
                 "ColdLeftMs": 0, "Seq": 1, "born": 1700000000000}
        fixture.put("entries", f"servers/i-{number:02}", json.dumps(entry))


def put_odd_entries(fixture):
    for kind, key, body in ODD_ENTRIES[ENTRY]:
        fixture.put(kind, key, body)


def run(fixture):
    call(fixture.store, "POST", "/faults", json.dumps({"page": PAGE}))
    put_good_entries(fixture)
    fixture.put_configuration(1, {"seats": "app"})
    # Its entry is on the last page.
    fixture.start_replica("j-1", "app")
    if MOMENT == "before":
        put_odd_entries(fixture)
    fixture.start_instance()
    if MOMENT == "while":
        await_that(lambda: fixture.is_served("seats"), "the first server is not used")
        put_odd_entries(fixture)
    served = sum(fixture.is_served("seats") for _ in range(REQUESTS))
    require(served == REQUESTS, f"{served} of {REQUESTS} requests were served")
    fixture.put_configuration(2, {"seats": "app", "later": "app", "new": "new"})
    await_that(lambda: fixture.is_served("later"), "a new configuration is not taken")
    fixture.start_replica("j-2", "new")
    await_that(lambda: fixture.is_served("new"), "a new server is not used")
    lines = sum("Odd item" in line or "is invalid" in line or "entry removed" in line for line in fixture.log("instance").splitlines())
    require(lines <= 20, f"the log has {lines} lines on odd entries")
    await_that(lambda: fixture.odd_items() > 0, "no metric counts the odd entry")


def main():
    with tempfile.TemporaryDirectory() as folder:
        fixture = Fixture(folder)
        try:
            run(fixture)
        except Failure as failure:
            print(f"{ENTRY} {MOMENT}: {failure}\n{fixture.log('instance')[-4000:]}", file=sys.stderr)
            sys.exit(1)
        finally:
            fixture.end()


main()
