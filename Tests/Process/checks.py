"""What the tests of processes share: conditions that must hold, and free ports."""

import socket
import time

TIMEOUT = 10


class Failure(Exception):
    pass


def require(condition, problem):
    if not condition:
        raise Failure(problem)


def await_that(condition, problem):
    end = time.monotonic() + TIMEOUT
    while not condition():
        require(time.monotonic() < end, problem)
        time.sleep(0.02)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
