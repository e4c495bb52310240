"""An engine as a process of its own, so that it can really crash.

Usage: engine.py PORT CRASHING_PART FRAMED [CRASHING_EVENT]. It prints a line for each request that arrives and each that
is answered. A request with the crashing part ends the process by SIGKILL as soon as it has written so many events of the
answer, one if none is given.
"""

import os
import signal
import socket
import sys
import threading
import time

import stand

EVENTS = 10
FIRST_EVENT_S = 0.1
EVENT_GAP_S = 0.05


def parts(request):
    return [entry.split(":")[0] for entry in request.headers.get("prompt-prefix", "").split(",")]


def serve(connection, crashing_part, framed, crashing_event):
    try:
        source = connection.makefile("rb")
        while True:
            request = stand.read_request(source)
            if request is None:
                return
            print("arrived " + request.id, flush=True)
            time.sleep(FIRST_EVENT_S)
            answer(connection, request, framed, crashing_event if crashing_part in parts(request) else 0)
            print("answered " + request.id, flush=True)
            if not framed:
                return
    except (OSError, ValueError):
        return
    finally:
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        connection.close()


def answer(connection, request, framed, crashing_event):
    lines = ["Content-Type: text/event-stream"]
    lines.append("Transfer-Encoding: chunked" if framed else "Connection: close")
    connection.sendall(stand.answer_head(request, *lines))
    for number in range(1, EVENTS + 1):
        event = stand.event(number)
        connection.sendall(stand.chunk(event) if framed else event)
        if number == crashing_event:
            print("crashed " + request.id, flush=True)
            os.kill(os.getpid(), signal.SIGKILL)
        time.sleep(EVENT_GAP_S)
    if framed:
        connection.sendall(b"0\r\n\r\n")


def main():
    port, crashing_part, framed = int(sys.argv[1]), sys.argv[2], sys.argv[3] == "framed"
    crashing_event = int(sys.argv[4]) if len(sys.argv) > 4 else 1
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(256)
    print("listening", flush=True)
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(connection, crashing_part, framed, crashing_event), daemon=True).start()


if __name__ == "__main__":
    main()
