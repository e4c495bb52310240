"""An engine fails requests that it has run with 429, without Not-Executed: the router passes that promise on.

Not one of the five cases. Run: python3 review/stand-2/promised_and_run.py FOLDER_OF_THE_RECORD
"""
import os
import sys
import threading

import stand

CLIENTS = 6
REQUESTS = 20
# `srv_grey: share (.15) fail x (.4) of their requests, health good`: one of three engines fails two in five.
GREY = 'i-1'
STATUSES = ('429 Too Many Requests', '408 Request Timeout')
PROMISES = (408, 421, 429, 503)


def check(case):
    counts = {'answers': 0}

    def answer(engine, connection, request):
        engine.run(request)
        status = '200 OK'
        if case.trouble and engine.name == GREY:
            with engine.lock:
                counts['answers'] += 1
                turn = counts['answers'] % 5
            if turn in (2, 4):
                status = STATUSES[turn // 2 - 1]
        connection.sendall(stand.head(request, 'Content-Length: 800\r\n', status) + b'x' * 800)

    case.store.put('config', 'main', stand.configuration())
    engines = [case.engine('i-%d' % number, stand.DESK, answer) for number in range(1, 4)]
    case.start_routers(1)
    promised = []

    def send(name):
        for number in range(REQUESTS):
            request_id = 'book-%d-%d' % (name, number)
            client = stand.Client(case.routers[0].front, case.record)
            client.send(request_id, 'POST', '/puxa403/2f', b'x' * 600, 600)
            got = client.receive(request_id)
            client.close()
            if got.status in PROMISES:
                promised.append(request_id)

    threads = [threading.Thread(target=send, args=(name,)) for name in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ran = {request_id for engine in engines for request_id in engine.runs}
    broken = [request_id for request_id in promised if request_id in ran]
    if broken:
        return ('REFUSED is broken: %d bookings were answered 408 or 429 and have run: %s'
                % (len(broken), ', '.join(broken)))
    return ''


stand.Case(sys.argv[1]).run(check)
