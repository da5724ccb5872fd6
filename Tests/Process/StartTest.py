#!/usr/bin/env python3
"""Tests the start and the end of one instance of a fleet as a process. Usage: StartTest.py FOLDER CASE."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

from checks import TIMEOUT, Failure, await_that, free_port, require

PROGRAM = os.path.join(os.path.abspath(sys.argv[1]), "ibisturn")
LISTENERS = ("callers", "peers", "readiness", "directory", "metrics")


class Store:
    """Counts the connections of the instance to its store, and closes them."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            self.connections += 1
            connection.close()


class Fixture:
    def __init__(self, folder):
        self.folder = folder
        self.store = Store()
        self.ports = {name: free_port() for name in LISTENERS}
        self.process = None

    def settings(self):
        at = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        return f"""instance: barn
region: khomas
data_centre: khomas-a
callers: {{listen: "{at['callers']}"}}
peers: {{listen: "{at['peers']}"}}
platform:
  store: {{kind: platform, endpoints: ["127.0.0.1:{self.store.listener.getsockname()[1]}"], prefix: ibisturn/}}
fleet:
  dialect: platform
  readiness: "{at['readiness']}"
  directory: {{listen: "{at['directory']}", lifetime: 2s}}
  metrics: {{listen: "{at['metrics']}"}}
  data_centres: [{{name: khomas-a, region: khomas}}]
  allowance: {{window: 8s, tolerance: 0.1, slack: 1000}}
  shutdown: {{backend_drain: 1s, grace: 3s}}
"""

    @property
    def settings_file(self):
        return os.path.join(self.folder, "settings.yaml")

    def write_settings(self):
        with open(self.settings_file, "w") as file:
            file.write(self.settings())

    def start(self):
        with open(os.path.join(self.folder, "log"), "wb") as log:
            self.process = subprocess.Popen([PROGRAM, "serve", "--settings", self.settings_file], stdout=log, stderr=log)

    def log(self):
        with open(os.path.join(self.folder, "log")) as file:
            return file.read()

    def is_running(self):
        return self.process.poll() is None

    def await_log(self, text):
        await_that(lambda: text in self.log() or not self.is_running(), f"no log line says {text}")
        require(text in self.log(), f"the process ended with status {self.process.poll()} before it logged {text}")

    def require_status(self, status):
        try:
            actual = self.process.wait(TIMEOUT)
        except subprocess.TimeoutExpired:
            raise Failure("the process did not end") from None
        require(actual == status, f"the process ended with status {actual} instead of {status}")

    def end(self):
        if self.process and self.is_running():
            self.process.kill()
            self.process.wait()


def hold(port):
    """Uses the port as the local port of an outgoing connection without SO_REUSEADDR."""
    server = socket.create_server(("127.0.0.1", 0))
    connection = socket.socket()
    connection.bind(("127.0.0.1", port))
    connection.connect(server.getsockname())
    accepted, _ = server.accept()
    # The other end closes first, so that no TIME_WAIT of the port remains.
    def release():
        accepted.close()
        connection.recv(1)
        connection.close()
        server.close()
    return release


def is_ready(fixture):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{fixture.ports['readiness']}/-/ready", timeout=1) as answer:
            return answer.status == 200
    except (urllib.error.URLError, OSError):
        return False


def is_listening(port):
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
        return True
    except OSError:
        return False


def metrics_of(fixture):
    with urllib.request.urlopen(f"http://127.0.0.1:{fixture.ports['metrics']}/metrics", timeout=5) as answer:
        return answer.read().decode()


def address_in_use(fixture, name):
    release = hold(fixture.ports[name])
    fixture.write_settings()
    fixture.start()
    address = f"127.0.0.1:{fixture.ports[name]}"
    fixture.await_log(address)
    time.sleep(0.5)
    require(fixture.is_running(), f"the process ended with status {fixture.process.poll()}")
    if name == "metrics":
        require("Listening." in fixture.log() and fixture.store.connections > 0, "the instance does not start without its metrics")
    else:
        require(fixture.store.connections == 0 and not is_ready(fixture), "the instance started without its listener")
    require(fixture.log().count(address) == 1, "the log has a line for each attempt")
    release()
    fixture.await_log("Listening.")
    await_that(lambda: fixture.store.connections > 0, "the instance does not follow the store")
    await_that(lambda: is_listening(fixture.ports["metrics"]), "the metrics are not served")
    require(f'ibisturn_listen_retries_total{{listener="{name}"}}' in metrics_of(fixture), "no metric counts the attempts")
    fixture.process.terminate()
    fixture.require_status(0)


def each_address_in_use(fixture):
    for name in LISTENERS:
        # The ports of the last round may still be in TIME_WAIT.
        fixture.ports = {listener: free_port() for listener in LISTENERS}
        fixture.store.connections = 0
        address_in_use(fixture, name)


def terminate_while_address_in_use(fixture):
    hold(fixture.ports["callers"])
    fixture.write_settings()
    fixture.start()
    fixture.await_log(f"127.0.0.1:{fixture.ports['callers']}")
    fixture.process.terminate()
    fixture.require_status(0)


def address_not_available(fixture):
    fixture.write_settings()
    with open(fixture.settings_file) as file:
        text = file.read()
    # An address of the documentation range belongs to no machine.
    address = f"192.0.2.1:{fixture.ports['peers']}"
    with open(fixture.settings_file, "w") as file:
        file.write(text.replace(f"127.0.0.1:{fixture.ports['peers']}", address))
    fixture.start()
    fixture.require_status(1)
    require("peers" in fixture.log() and address in fixture.log(), "the message does not name the listener and the address")


def start_with_signal(fixture, number):
    """Sends a signal while the process reads its settings, which come from a pipe."""
    os.mkfifo(fixture.settings_file)
    fixture.start()
    pipe = os.open(fixture.settings_file, os.O_WRONLY)
    os.unlink(fixture.settings_file)
    fixture.write_settings()
    fixture.process.send_signal(number)
    time.sleep(0.1)
    try:
        os.write(pipe, fixture.settings().encode())
    except BrokenPipeError:
        pass  # The process has ended; the case finds out.
    os.close(pipe)


def hang_up_while_starting(fixture):
    start_with_signal(fixture, signal.SIGHUP)
    fixture.await_log("Listening.")
    fixture.await_log("Settings reloaded.")
    fixture.process.terminate()
    fixture.require_status(0)


def terminate_while_starting(fixture):
    start_with_signal(fixture, signal.SIGTERM)
    fixture.require_status(0)


def signals_while_ending(fixture):
    fixture.write_settings()
    fixture.start()
    fixture.await_log("Listening.")
    fixture.process.terminate()
    fixture.await_log("Draining.")
    while fixture.is_running():
        fixture.process.send_signal(signal.SIGTERM)
        fixture.process.send_signal(signal.SIGHUP)
        time.sleep(0.005)
    fixture.require_status(0)


def main():
    case = globals()[sys.argv[2]]
    with tempfile.TemporaryDirectory() as folder:
        fixture = Fixture(folder)
        try:
            case(fixture)
        except Failure as failure:
            print(f"{sys.argv[2]}: {failure}\n{fixture.log()}", file=sys.stderr)
            sys.exit(1)
        finally:
            fixture.end()


main()
