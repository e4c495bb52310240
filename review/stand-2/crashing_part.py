"""A prompt part crashes each engine right after the first write of its answer: the part is never blocked.

Not one of the five cases. Run: python3 review/stand-2/crashing_part.py FOLDER_OF_THE_RECORD
"""
import os
import sys
import threading
import time

import stand

ENGINES = 8
SECONDS = 30
# The events in the first write of an engine, which it crashes after. EVENTS=0 shows that the part is blocked then.
EVENTS = int(os.environ.get('EVENTS', '2'))
SOUND_EVENTS = 8
STABLE_S = 3
HEARTBEAT_S = 1.2
DOWN_S = 2
PART = '91bd3f06'
lock = threading.Lock()
arrivals = []
crashes = []


class Place:
    """An address at which one engine after the other runs."""

    def __init__(self, case, number):
        self.case = case
        self.number = number
        self.port = stand.free_port()
        self.starts = 0
        self.begin()

    def begin(self):
        self.starts += 1
        name = 'i-%d-%d' % (self.number, self.starts)
        self.engine = stand.Engine(name, stand.POOL, self.case.record, self.answer, port=self.port)
        self.case.store.put('servers', name, self.engine.entry())

    def answer(self, engine, connection, request):
        engine.run(request)
        poisoned = PART in request.headers.get('prompt-prefix', '')
        with lock:
            if poisoned:
                arrivals.append((time.monotonic(), request.id))
        time.sleep(0.05 if poisoned else 0.1)
        events = EVENTS if poisoned else SOUND_EVENTS
        answer = stand.head(request, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')
        answer += b''.join(stand.chunk(stand.event(number)) for number in range(1, events + 1))
        connection.sendall(answer if poisoned else answer + b'0\r\n\r\n')
        if poisoned:
            self.crash(engine)
            return False

    def crash(self, engine):
        with lock:
            if engine.dead:
                return
            engine.dead = True
            crashes.append(time.monotonic())
        self.case.record('engine %s crashes' % engine.name)
        engine.stop()
        threading.Thread(target=self.come_back, args=(engine.name,), daemon=True).start()

    def come_back(self, crashed):
        time.sleep(DOWN_S)
        self.begin()
        # The entry lapses after three heartbeats of silence.
        time.sleep(3 * HEARTBEAT_S - DOWN_S)
        self.case.store.delete('servers', crashed)


def check(case):
    case.store.put('config', 'main', stand.configuration())
    for number in range(1, ENGINES + 1):
        Place(case, number)
    case.start_routers(3)
    cut = []

    def request(request_id, port, prefix):
        headers = 'Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: ' + prefix
        try:
            client = stand.Client(port, case.record)
            client.send(request_id, 'POST', '/lohu930/2f', b'x' * 100, 15000, headers)
            got = client.receive(request_id)
            client.close()
        except OSError as fault:
            case.record('client got no connection for %s: %s' % (request_id, fault))
            return
        if request_id.startswith('sound') and (got.status != 200 or not got.complete):
            cut.append(request_id)

    number = 0
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        number += 1
        sound = ('sound-%d' % number, case.routers[number % 3].front,
                 '5c1e07a2:800,aa%06x:410,e4%06x:250' % (number % 7, number))
        threading.Thread(target=request, args=sound).start()
        if case.trouble and number % 4 == 0:
            bad = ('bad-%d' % number, case.routers[number // 4 % 3].front,
                   '5c1e07a2:800,%s:410,f4%06x:250' % (PART, number))
            threading.Thread(target=request, args=bad).start()
        time.sleep(0.2)
    time.sleep(1)
    late = [request_id for at, request_id in arrivals if len(crashes) >= 5 and at > crashes[4] + STABLE_S]
    case.record('%d engines crashed; %d requests with the part reached engines, %d of them later than StableMs after '
                'the fifth crash; %d of %d sound requests were not answered whole'
                % (len(crashes), len(arrivals), len(late), len(cut), number))
    if len(late) > 3:
        return ('BUDGET is broken: %d requests with the part reached engines later than StableMs after the fifth crash, '
                '%d engines crashed' % (len(late), len(crashes)))
    return ''


stand.Case(sys.argv[1]).run(check)
