"""An engine stops in the middle of an event and ends its chunks: the answer is passed on as if it were complete."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'stand-2'))
import stand

CLIENTS = 8
REQUESTS = 50
EVENTS = 8
# Two of four engines break off 2 in 100 of their answers: `garble: share (.5) break off or spoil x (.02)`.
EVERY = 50
HEADERS = 'Model: m\r\nToken-Count: 1460,40\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250'
broken_off = []


def check(case):
    answers = {'i-1': 0, 'i-2': 0}

    def events(engine, connection, request, first, last):
        connection.sendall(b''.join(stand.chunk(stand.event(number)) for number in range(first, last + 1)))

    def answer(engine, connection, request):
        engine.run(request)
        first = int(request.headers.get('last-event-id', 0)) + 1
        connection.sendall(stand.head(request, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'))
        if case.trouble and engine.name in answers:
            with engine.lock:
                answers[engine.name] += 1
                breaks_off = answers[engine.name] % EVERY == 0
            if breaks_off:
                events(engine, connection, request, first, 4)
                broken_off.append(request.id)
                case.record('engine %s stops in the middle of an event of %s' % (engine.name, request.id))
                connection.sendall(stand.chunk(stand.event(5)[:20]) + b'0\r\n\r\n')
                return
        time.sleep(0.02)
        events(engine, connection, request, first, EVENTS)
        connection.sendall(b'0\r\n\r\n')

    case.store.put('config', 'main', stand.configuration())
    for number in range(1, 5):
        case.engine('i-%d' % number, stand.POOL, answer)
    case.start_routers(1)
    whole = b''.join(stand.event(number) for number in range(1, EVENTS + 1))
    wrong = []

    def send(name, path):
        client = stand.Client(case.routers[0].front, case.record)
        for number in range(REQUESTS):
            request_id = '%s-%s-%d' % (path[1:5], name, number)
            client.send(request_id, 'POST', path, b'x' * 100, 15000, HEADERS)
            got = client.receive(request_id)
            if got.status == 200 and got.complete and got.body != whole:
                wrong.append(request_id)
                case.record('%s looks complete and ends with %r' % (request_id, got.body[-24:]))
            if not got.complete or got.headers.get('connection') == 'close':
                client.close()
                client = stand.Client(case.routers[0].front, case.record)
        client.close()

    threads = [threading.Thread(target=send, args=(name, path))
               for name in range(CLIENTS) for path in ('/lohu930/2f', '/pufi791/2f')]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if case.trouble and not broken_off:
        raise stand.Unable('no answer was broken off')
    if wrong:
        return ('MIXED and ORDER are broken: %d of %d streams that ended inside an event look complete: %s'
                % (len(wrong), len(broken_off), ', '.join(wrong)))
    return ''


stand.Case(HERE).run(check)
