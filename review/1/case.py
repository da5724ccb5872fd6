"""One replica spoils one answer: a chunk whose first line never ends. See claim.txt."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import Client, Deployment, Replica, configuration, narrative_headers, now, run_case

CLIENTS = 60
TROUBLE_AT_S = 10
END_AT_S = 26
LINK_BYTES_PER_S = 100_000_000  # LinkMbps of a front machine is 1000.
FILLING = b"a" * 1_000_000


class SpoilingReplica(Replica):
    """Spoils one answer when told to: its bytes are no chunk, and end only when the caller closes the connection."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.mustSpoil = False
        self.spoiled = None

    def run_(self, connection, target, headers, request):
        if not self.mustSpoil:
            return super().run_(connection, target, headers, request)
        self.mustSpoil = False
        self.spoiled = request
        self.sendStreamHead_(connection, self.baseHeaders_(request) + [("X-Ibisturn-Server-Seal", "seal." + self.name)])
        sent, start = 0, now()
        try:
            while True:
                connection.sendall(FILLING)
                sent += len(FILLING)
                time.sleep(max(0, start + sent / LINK_BYTES_PER_S - now()))
        except OSError:
            pass
        self.record_.say("%s spoiled the answer to %s; the caller closed after %d MB and %.1f s" % (self.name, request, sent // 1_000_000, now() - start))
        return False


def main(record, hasTrouble):
    deployment = Deployment(record, configuration())
    faulty = SpoilingReplica(deployment.store, record, "guide-k2", "ibis-guide", "khomas-a", 128, 150, 55, 10)
    sound = [Replica(deployment.store, record, "guide-k1", "ibis-guide", "khomas-a", 128, 150, 55, 10),
        Replica(deployment.store, record, "guide-k3", "ibis-guide", "khomas-a", 128, 150, 55, 10)]
    khomas = deployment.addInstance("front-khomas-a-1", "khomas-a")
    deployment.addInstance("front-omaheke-a-1", "omaheke-a")
    answers = []
    try:
        deployment.awaitReady()
        time.sleep(1)
        start = now()

        def ask(number):
            client = Client(record, khomas, "narrative-%d" % number)
            time.sleep(number * 0.04)
            while now() < start + END_AT_S - 4:
                answer = client.send("POST", "/narrative/2f", 12000, narrative_headers(number), b"p" * 12000)
                answers.append(answer)
                if answer.status != 200 or not answer.isComplete:
                    time.sleep(float(answer.headers.get("retry-after", "0.3")))

        threads = [threading.Thread(target=ask, args=(number,), daemon=True) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(TROUBLE_AT_S)
        faulty.mustSpoil = hasTrouble
        for thread in threads:
            thread.join(max(0.1, start + END_AT_S + 10 - now()))
        ran = {request for replica in sound for request in replica.runs}
        lost = [answer for answer in answers if answer.isKept and answer.status is None and answer.request in ran]
        record.say("%d requests, %d answered completely" % (len(answers), sum(answer.isComplete for answer in answers)))
        record.say("peak memory of front-khomas-a-1: %.0f MB; it ended %d times" % (khomas.peakMb, len(khomas.ends)))
        record.say("LOST: %d requests from kept connections were passed on to sound replicas, and their connections closed without an answer (at most 3)" % len(lost))
        return len(lost) > 3
    finally:
        deployment.stop()


run_case(main)
