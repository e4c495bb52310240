"""Case 11: a booking that has run at an engine is answered 429 or 408, which promises that it has not."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))

import stand  # noqa: E402

ENGINES = 7
"""One of them fails: a share of 0.14, as in the troubles of the site."""

FAILING_SHARE = 0.4
TROUBLE_S = 6.5
CLIENTS = 10
GAP_S = 0.1
RETRIES = 1
RETRY_AFTER_S = 0.05
PROMISES = (408, 421, 429, 503)
FAILURES = ("429 Too Many Requests", "408 Request Timeout")


class Play:
    def __init__(self, place):
        self.place = place
        self.record = place.record
        self.lock = threading.Lock()
        self.random = random.Random(55)
        self.trouble = False
        self.stopped = False
        self.runs = set()
        self.runs_of_booking = {}
        self.answers = {}
        self.refused = {}

    def booking(self, engine, request, connection):
        """Runs a booking; a failing engine reports some as failed, and does not say that they have not run."""
        order = request.body.decode()
        with self.lock:
            self.runs.add(request.id)
            self.runs_of_booking[order] = self.runs_of_booking.get(order, 0) + 1
            fails = engine.name == "desk-1" and self.trouble and self.random.random() < FAILING_SHARE
            status = self.random.choice(FAILURES)
        time.sleep(0.02)
        if fails:
            self.record.write("%s has run %s, answers %s without Not-Executed" % (engine.name, request.id, status))
            connection.sendall(stand.answer_head(request, "Content-Length: 0", status=status))
        else:
            self.record.write("%s has run %s, answers 200" % (engine.name, request.id))
            connection.sendall(stand.plain_answer(request, b"booked " + request.body))
        return True

    def call(self, router, number):
        """Sends bookings on a kept connection, and each once more, on a new one, after a promise that it has not run."""
        client = stand.Client(router.front)
        count = 0
        while not self.stopped:
            count += 1
            order = "booking-%d-%d" % (number, count)
            for attempt in range(1 + RETRIES):
                answer = self.attempt(client, "%s-%d" % (order, attempt), order)
                if answer.status == 200 and answer.headers.get("connection") != "close":
                    break
                client.close()
                client = stand.Client(router.front)
                if answer.status not in PROMISES:
                    break
                time.sleep(RETRY_AFTER_S)
            time.sleep(GAP_S)

    def attempt(self, client, name, order):
        headers = {"Request-Id": name, "Api-Key": "key-1", "Deadline-Ms": "1000"}
        try:
            client.send("POST", "/book/a", "shop.example", headers, order.encode())
            answer = client.receive()
        except OSError:
            answer = stand.Answer(0, {}, b"", False)
        self.record.write("%s is answered %s" % (name, answer))
        with self.lock:
            self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
            if answer.status in PROMISES:
                self.refused[name] = answer.status
        return answer

    def play(self):
        store = self.place.store()
        for number in range(1, ENGINES + 1):
            self.place.engine(store, "desk-%d" % number, "desk", self.booking, slots=6)
        routes = [stand.route("r-book", "/book/", "unsafe", "desk", GoalMs=100, TimeoutMs=1000)]
        store.write("config", "main", stand.configuration(1, routes, [stand.service("desk", connections=96)]))
        router = self.place.router(1, store)
        router.start()
        if not router.await_ready():
            return stand.COULD_NOT_RUN, "the router did not become ready"
        for number in range(CLIENTS):
            threading.Thread(target=self.call, args=(router, number), daemon=True).start()
        time.sleep(3)
        if stand.troubled():
            self.record.write("desk-1 fails a part of its requests from now on")
            self.trouble = True
        time.sleep(TROUBLE_S)
        self.trouble = False
        time.sleep(2)
        self.stopped = True
        time.sleep(1)
        return self.judge()

    def judge(self):
        with self.lock:
            broken = [name for name in self.refused if name in self.runs]
            twice = [order for order, count in self.runs_of_booking.items() if count > 1]
            text = "answers %s; %d requests that had run were answered with a promise that they have not (%s); %s" % (
                dict(sorted(self.answers.items())),
                len(broken),
                ", ".join("%s %d" % (name, self.refused[name]) for name in sorted(broken)[:3]),
                "%d bookings ran twice after a client's retry" % len(twice),
            )
        return (stand.BROKEN if broken else stand.HELD), text


stand.run(FOLDER, lambda place: Play(place).play())
