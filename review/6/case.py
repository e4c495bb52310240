"""Entries of another writer among the servers, each within ValueBytes: the routers run out of memory together."""
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'stand-2'))
import stand

ENTRIES = 4
# ValueBytes is 1,048,576.
ENTRY_BYTES = 1000000
SECONDS = 12
CLIENTS = 16
FIRST_EVENT_S = 0.7
EVENTS = 5
HEADERS = 'Model: m\r\nToken-Count: 1460,25\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250'
RESTART_S = 0.5
# "on a tenth of the machines in use (two at least) processes end by themselves three times in the day"
MACHINES = 2
ENDS = 3


def check(case):
    at_sound = set()

    def answer(engine, connection, request):
        engine.run(request)
        at_sound.add(request.id)
        time.sleep(FIRST_EVENT_S)
        head = stand.head(request, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')
        events = b''.join(stand.chunk(stand.event(number)) for number in range(1, EVENTS + 1))
        connection.sendall(head + events + b'0\r\n\r\n')

    case.store.put('config', 'main', stand.configuration())
    case.engine('i-1', stand.POOL, answer)
    case.engine('i-2', stand.POOL, answer)
    case.start_routers(3)
    ends = {router.name: 0 for router in case.routers}
    unanswered = []
    stopped = threading.Event()

    def restart(router):
        while not stopped.is_set():
            status = router.process.poll()
            if status is None:
                time.sleep(0.05)
                continue
            ends[router.name] += 1
            case.record('router %s has ended by itself, exit status %d' % (router.name, status))
            time.sleep(RESTART_S)
            if not stopped.is_set():
                router.start()

    def client(name, router):
        connection, kept = None, False
        number = 0
        while not stopped.is_set():
            number += 1
            request_id = 'plan-%s-%d' % (name, number)
            try:
                if connection is None:
                    connection, kept = stand.Client(router.front, case.record), False
                connection.send(request_id, 'POST', '/lohu930/2f', b'x' * 100, 15000, HEADERS)
                got = connection.receive(request_id)
            except OSError as fault:
                case.record('client could not send %s: %s' % (request_id, fault))
                connection = None
                time.sleep(0.5)
                continue
            if kept and not got.status and request_id in at_sound:
                unanswered.append(request_id)
            kept = got.complete
            if got.status == 503:
                time.sleep(0.5)
            if not got.complete or got.headers.get('connection') == 'close':
                connection.close()
                connection = None
                time.sleep(0.2)

    threads = [threading.Thread(target=restart, args=(router,)) for router in case.routers]
    threads += [threading.Thread(target=client, args=('%s-%d' % (router.name[-1], number), router))
                for router in case.routers for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(2)
    if case.trouble:
        unit = {}
        spec = {'Service': [unit] * ((ENTRY_BYTES - 100) // len('{},')), 'Address': 5}
        for number in range(ENTRIES):
            case.store.put('servers', 'x-%d' % number, spec)
            case.record('another writer has written servers/x-%d, %d bytes'
                        % (number, len(json.dumps(spec, separators=(',', ':')))))
    time.sleep(SECONDS)
    stopped.set()
    for thread in threads:
        thread.join()
    often = [name for name, count in ends.items() if count >= ENDS]
    case.record('ends by themselves: %s; %d requests from kept connections got no answer though they had reached a '
                'sound engine' % (ends, len(unanswered)))
    broken = []
    if len(often) >= MACHINES:
        broken.append('Fault: on %d machines processes ended by themselves three times or more: %s' % (len(often), ends))
    if len(unanswered) > 3:
        broken.append('LOST is broken: %d requests from kept connections at sound engines got no answer'
                      % len(unanswered))
    return '; '.join(broken)


stand.Case(HERE).run(check)
