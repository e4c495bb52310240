"""Case 14: three engines crash at once, and a route that shares one first part is refused long after they are back."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))

import stand  # noqa: E402

ENGINES = 13
CRASHED_ENGINES = 3
"""A share of 0.25 of the engines for 2 s, as on the day scale-1 of the site, rounded down."""

DOWN_S = 2.0
STABLE_S = 3
FIRST_EVENT_S = 0.4
EVENTS = 10
EVENT_GAP_S = 0.05

BEFORE_S = 8
AFTER_S = 40
FIRST_ROUTE_GAP_S = 0.1
LATER_ROUTE_GAP_S = 1.5
"""More than a stream lasts, so that the requests of one moment are the only ones of the route in flight."""

MOST_GROUPS = 10
LEAST_REQUESTS = 20
LEAST_SHARE = 0.25


class Play:
    def __init__(self, place):
        self.place = place
        self.record = place.record
        self.lock = threading.Lock()
        self.running = {}
        self.counts = {}
        self.steady = False
        self.stopped = False
        self.engines = {}

    def model(self, engine, request, connection):
        with self.lock:
            self.running[request.id] = engine.name
        self.record.write("%s begins %s" % (engine.name, request.id))
        time.sleep(FIRST_EVENT_S)
        if not engine.alive:
            return False
        connection.sendall(
            stand.answer_head(request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        )
        for number in range(1, EVENTS + 1):
            connection.sendall(stand.chunk(stand.event(number)))
            time.sleep(EVENT_GAP_S)
        connection.sendall(b"0\r\n\r\n")
        with self.lock:
            self.running.pop(request.id, None)
        return True

    def send(self, router, route, name, first_part):
        headers = {
            "Request-Id": name,
            "Api-Key": "key-1",
            "Deadline-Ms": "10000",
            "Model": "m",
            "Token-Count": "1460,50",
            "Prompt-Prefix": "%s:800,own-%s:250" % (first_part, name),
        }
        counted = self.steady
        try:
            client = stand.Client(router.front)
            client.send("POST", "/%s/a" % route, "shop.example", headers, b"x" * 2000)
            answer = client.receive()
            client.close()
        except OSError:
            answer = stand.Answer(0, {}, b"", False)
        self.record.write("%s: %s" % (name, answer))
        if counted and self.steady:
            with self.lock:
                sent, served = self.counts.get(route, (0, 0))
                self.counts[route] = (sent + 1, served + (answer.status == 200 and answer.whole))

    def start_send(self, *arguments):
        threading.Thread(target=self.send, args=arguments, daemon=True).start()

    def send_first(self, router):
        count = 0
        while not self.stopped:
            count += 1
            self.start_send(router, "chat", "chat-%d" % count, "aaaa%04d" % (count % 40))
            time.sleep(FIRST_ROUTE_GAP_S)

    def send_later(self, router, count):
        for index in range(CRASHED_ENGINES):
            self.start_send(router, "plan", "plan-%d-%d" % (count, index), "5c1e07a2")

    def crash_beneath_a_group(self, router, count):
        """Sends groups of requests until one is in flight at three engines, and crashes these."""
        names = []
        for _ in range(MOST_GROUPS):
            count += 1
            self.send_later(router, count)
            time.sleep(FIRST_EVENT_S / 2)
            names = self.engines_of("plan-%d-" % count)
            if len(names) == CRASHED_ENGINES:
                break
            time.sleep(LATER_ROUTE_GAP_S)
        if stand.troubled() and len(names) == CRASHED_ENGINES:
            for name in names:
                self.record.write(name + " crashes")
                self.engines[name].crash()
        return count, names

    def engines_of(self, prefix):
        with self.lock:
            return sorted({engine for name, engine in self.running.items() if name.startswith(prefix)})

    def play(self):
        store = self.place.store()
        for number in range(1, ENGINES + 1):
            name = "model-%d" % number
            self.engines[name] = self.place.engine(store, name, "pool", self.model)
        first = [stand.route("r-chat", "/chat/", "streaming", "pool", GoalMs=1000)]
        later = first + [stand.route("r-plan", "/plan/", "streaming", "pool", GoalMs=1000)]
        services = [stand.service("pool", model=True)]
        store.write("config", "main", stand.configuration(1, first, services))
        router = self.place.router(1, store)
        router.start()
        if not router.await_ready():
            return stand.COULD_NOT_RUN, "the router did not become ready"
        store.write("config", "main", stand.configuration(2, later, services))
        time.sleep(4)
        threading.Thread(target=self.send_first, args=(router,), daemon=True).start()
        count = 0
        until = time.monotonic() + BEFORE_S
        while time.monotonic() < until:
            count += 1
            self.send_later(router, count)
            time.sleep(LATER_ROUTE_GAP_S)
        count, crashed = self.crash_beneath_a_group(router, count)
        if len(crashed) < CRASHED_ENGINES:
            return stand.COULD_NOT_RUN, "no group of requests was placed at as many engines as crash"
        if not stand.troubled():
            crashed = []
        time.sleep(DOWN_S)
        for name in crashed:
            self.engines[name].restart()
            self.record.write(name + " is back")
        time.sleep(2 * STABLE_S)
        self.record.write("steady state from now on")
        self.steady = True
        until = time.monotonic() + AFTER_S
        while time.monotonic() < until:
            count += 1
            self.send_later(router, count)
            time.sleep(LATER_ROUTE_GAP_S)
        time.sleep(2)
        self.stopped = True
        return self.judge(router, crashed)

    def judge(self, router, crashed):
        blocked = router.log_lines("prompt part blocked")
        with self.lock:
            first_sent, first_served = self.counts.get("chat", (0, 0))
            later_sent, later_served = self.counts.get("plan", (0, 0))
        text = "%d engines crashed; in steady state %d of %d served on the first route, %d of %d on the later one; %s" % (
            len(crashed),
            first_served,
            first_sent,
            later_served,
            later_sent,
            "part blocked" if blocked else "no part blocked",
        )
        if first_sent == 0 or later_sent < LEAST_REQUESTS:
            return stand.COULD_NOT_RUN, text
        broken = later_served / later_sent < LEAST_SHARE * first_served / first_sent
        return (stand.BROKEN if broken else stand.HELD), text


stand.run(FOLDER, lambda place: Play(place).play())
