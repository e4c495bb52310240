"""Stand-ins for the review's cases 11 to 15: the platform's store, engines, clients and the router process.

Only Python's standard library is used. All addresses are loopback addresses, all ports are chosen among free ones, and
all files but the record lie in a temporary folder.
"""

import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START_S = time.monotonic()

LOOPBACK_ADDRESSES = ("127.0.0.1", "127.0.0.11", "127.0.0.12")
"""Those of the stand-ins and of the routers."""

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


def now_s():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START_S


def troubled():
    """Tells whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f %s\n" % (now_s(), text))
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def free_ports(count):
    """Returns free ports below those that the system takes for outgoing connections."""
    found = []
    port = 11000 + (os.getpid() * 37) % 8000
    while len(found) < count:
        port += 1
        if all(is_free((address, port)) for address in LOOPBACK_ADDRESSES):
            found.append(port)
    return found


def is_free(address):
    with socket.socket() as probe:
        try:
            probe.bind(address)
        except OSError:
            return False
    return True


class Store:
    """The platform's store: objects with revisions, conditional writes, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.log = []
        self.closed = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                return

            def do_GET(self):
                self.reply(*store.get(self.path))

            def do_POST(self):
                self.reply(*store.post(self.path, self.body()))

            def do_PUT(self):
                self.reply(*store.put_object(self.path, self.body()))

            def do_DELETE(self):
                self.body()
                self.reply(*store.delete_object(self.path))

            def body(self):
                text = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                return json.loads(text) if text else None

            def reply(self, status, value):
                body = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", "1")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, request, client_address):
                return

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, kind, name, spec, **outside):
        """Writes an object as the operator and the engines do, and returns its revision."""
        with self.changed:
            return self._store(kind, name, spec, outside)

    def remove(self, kind, name):
        with self.changed:
            if name in self.objects.get(kind, {}):
                self._remove(kind, name)

    def _store(self, kind, name, spec, outside=None, finalizers=()):
        kinds = self.objects.setdefault(kind, {})
        old = kinds.get(name)
        if old is not None and old["Spec"] == spec and not outside:
            return old["Metadata"]["Rev"]
        self.revision += 1
        created = old["Metadata"]["CreatedRev"] if old else self.revision
        new = {
            "Metadata": {
                "Name": name,
                "Rev": self.revision,
                "CreatedRev": created,
                "Finalizers": list(finalizers),
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        new.update(outside or {})
        kinds[name] = new
        self.log.append((self.revision, kind, {"Deleted": False, "Object": new}))
        self.changed.notify_all()
        return self.revision

    def _remove(self, kind, name):
        old = self.objects[kind].pop(name)
        self.revision += 1
        gone = dict(old, Metadata=dict(old["Metadata"], Rev=self.revision))
        self.log.append((self.revision, kind, {"Deleted": True, "Object": gone}))
        self.changed.notify_all()

    @staticmethod
    def _parse(path):
        parts = urllib.parse.urlsplit(path)
        names = [urllib.parse.unquote(part) for part in parts.path.split("/")[3:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        return names[0], names[1] if len(names) > 1 else None, query

    def get(self, path):
        kind, name, query = self._parse(path)
        with self.changed:
            if name is not None:
                found = self.objects.get(kind, {}).get(name)
                return (200, found) if found else (404, {})
            if "Watch" in query:
                return self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", "0")))
            after = query.get("After", "")
            names = sorted(other for other in self.objects.get(kind, {}) if other > after)
            items = [self.objects[kind][other] for other in names[:500]]
            return 200, {"Items": items, "More": len(names) > 500, "CurrentRev": self.revision}

    def _watch(self, kind, revision, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for at, of, event in self.log if at > revision and of == kind]
            left = until - time.monotonic()
            if events or left <= 0 or self.closed:
                return 200, {"events": events, "CurrentRev": self.revision}
            self.changed.wait(left)

    def post(self, path, body):
        kind, _, _ = self._parse(path)
        name = body["Metadata"]["Name"]
        with self.changed:
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
            self._store(kind, name, body.get("Spec"))
            return 201, self.objects[kind][name]

    def put_object(self, path, body):
        kind, name, query = self._parse(path)
        with self.changed:
            old = self.objects.get(kind, {}).get(name)
            if old is None:
                return 404, {}
            expected = body.get("Metadata", {}).get("Rev", query.get("Rev"))
            if expected is not None and int(expected) != old["Metadata"]["Rev"]:
                return 409, old
            self._store(kind, name, body.get("Spec"))
            return 200, self.objects[kind][name]

    def delete_object(self, path):
        kind, name, query = self._parse(path)
        with self.changed:
            old = self.objects.get(kind, {}).get(name)
            if old is None:
                return 404, {}
            if "Rev" in query and int(query["Rev"]) != old["Metadata"]["Rev"]:
                return 409, old
            self._remove(kind, name)
            return 200, old

    def close(self):
        with self.changed:
            self.closed = True
            self.changed.notify_all()
        self.server.shutdown()
        self.server.server_close()


class Request:
    """A request as an engine received it; the names of its headers are in lower case."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id", "")


class Engine:
    """An engine on a plain socket; a handler writes the answer to each request and says whether to keep the connection.

    It writes its entry to the store at each heartbeat, as the pages tell.
    """

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, name, service, handler, slots=64, zone="zone-a"):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.handler = handler
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.lock = threading.Lock()
        self.beating = True
        self.alive = True
        self.listener = self._listen(0)
        self.port = self.listener.getsockname()[1]
        self.beat()
        threading.Thread(target=self._beats, daemon=True).start()

    def _listen(self, port):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(512)
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return listener

    def entry(self):
        """Returns the next content of the entry."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": "127.0.0.1:%d" % self.port,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
        }

    def beat(self):
        """Writes the entry and returns its content."""
        entry = self.entry()
        self.store.write("servers", self.name, entry, born=self.born)
        return entry

    def _beats(self):
        while self.beating:
            time.sleep(self.HEARTBEAT_S)
            if self.beating and self.alive:
                self.beat()

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            source = connection.makefile("rb")
            while True:
                request = read_request(source)
                if request is None or not self.handler(self, request, connection):
                    return
        except (OSError, ValueError):
            return
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def crash(self):
        """Ends like a process that is killed: all connections are reset, and new ones are refused."""
        with self.lock:
            self.alive = False
            try:
                self.listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self.listener.close()
            for connection in self.connections:
                reset(connection)

    def restart(self):
        """Starts again at the same address, under the same id and as a new incarnation."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.sequence = 0
            self.alive = True
            self.listener = self._listen(self.port)
        self.beat()

    def close(self):
        self.beating = False
        if self.alive:
            self.crash()


def reset(connection):
    """Resets a connection, also while another thread reads from it."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def read_request(source):
    line = source.readline(65536)
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = read_headers(source)
    body = source.read(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body)


def read_headers(source):
    headers = {}
    while True:
        line = source.readline(65536)
        if not line:
            raise ValueError("connection ended inside a head")
        text = line.decode("latin-1").rstrip("\r\n")
        if not text:
            return headers
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


def answer_head(request, *lines, status="200 OK"):
    head = ["HTTP/1.1 " + status, "Request-Id: " + request.id, "Server-Seal: seal." + request.id]
    return ("\r\n".join(head + list(lines)) + "\r\n\r\n").encode()


def plain_answer(request, body):
    return answer_head(request, "Content-Type: text/plain", "Content-Length: %d" % len(body)) + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


class Answer:
    """What a client received: the status, 0 if the connection ended before a head, and whether the answer is whole."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def __str__(self):
        return "%d, %s, %d bytes" % (self.status, "whole" if self.whole else "broken off", len(self.body))


class Client:
    """A connection of a client."""

    def __init__(self, address, receive_buffer=None, timeout_s=30):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(timeout_s)
        self.socket.connect(address)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.source = self.socket.makefile("rb", buffering=4096)

    def send(self, method, path, host, headers, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host]
        lines += ["%s: %s" % item for item in headers.items()]
        if method != "GET":
            lines.append("Content-Length: %d" % len(body))
        self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def receive(self, pace=None):
        """Reads an answer; pace(read_bytes) is called between the parts of a body with a length."""
        try:
            line = self.source.readline()
            if not line:
                return Answer(0, {}, b"", False)
            status = int(line.split()[1])
            headers = read_headers(self.source)
        except (OSError, ValueError):
            return Answer(0, {}, b"", False)
        if headers.get("transfer-encoding", "") == "chunked":
            body, whole = self._chunks()
        else:
            body, whole = self._sized(int(headers.get("content-length", "0")), pace)
        return Answer(status, headers, body, whole)

    def _sized(self, length, pace):
        parts = []
        read = 0
        try:
            while read < length:
                part = self.source.read1(min(16384, length - read))
                if not part:
                    break
                parts.append(part)
                read += len(part)
                if pace:
                    pace(read)
        except OSError:
            pass
        return b"".join(parts), read == length

    def _chunks(self):
        parts = []
        try:
            while True:
                size = int(self.source.readline().split(b";")[0], 16)
                data = self.source.read(size)
                if len(data) < size:
                    return b"".join(parts) + data, False
                self.source.readline()
                if size == 0:
                    return b"".join(parts), True
                parts.append(data)
        except (OSError, ValueError):
            return b"".join(parts), False

    def close(self):
        try:
            self.source.close()
        finally:
            self.socket.close()


class Router:
    """The router program, started with the command of the deploy file on a machine with an address of its own."""

    def __init__(self, place, number, store, record):
        self.place = place
        self.number = number
        self.record = record
        self.name = "front-%d" % number
        self.ip = "127.0.0.%d" % (10 + number)
        self.front = (self.ip, place.front_port)
        self.ready = (self.ip, place.ready_port)
        self.settings = os.path.join(place.folder, self.name + ".yaml")
        self.output = os.path.join(place.folder, self.name + ".log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self._settings(store), file, indent=1)

    def _settings(self, store):
        """Returns the settings, which are YAML too; the figures are those of the small deployments."""
        place = self.place
        return {
            "NodeName": self.name,
            "Role": "router",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": self.ip,
            "Zone": "zone-a",
            "Region": "region-a",
            "Zones": {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"},
            "Listen": {
                "Front": "%s:%d" % self.front,
                "Ready": "%s:%d" % self.ready,
                "Control": "%s:%d" % (self.ip, place.control_port),
            },
            "PortRange": [place.peer_port, place.peer_port + 15],
            "Seeds": [],
            "Bootstrap": True,
            "LossCounts": False,
            "Limits": {
                "CpuShare": 0.75,
                "Cores": 1,
                "MemoryMb": 280,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Policies": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
            ],
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": {
                "SeedLagS": 3,
                "AddrReuseS": 2,
                "StableMs": 3000,
                "AckMs": 4000,
                "CatchUpS": 4,
                "DrainMs": 2000,
                "GraceS": 8,
                "LossSlackMs": 200,
                "ConfigApplyMs": 2000,
                "RollbackSlackMs": 250,
                "OuterMs": 5000,
                "RevokeStrict": False,
                "RevokeMs": 5000,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "BudgetSlack": 52,
                "RecoverS": 12,
                "PassMs": 120,
                "AgainS": 9.8,
                "settle_ms": 1500,
            },
            "Platform": {
                "Address": store.address,
                "form": "objects",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment["JAYHEAD_CONFIG"] = self.settings
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.record.write("%s started" % self.name)

    def is_ready(self):
        try:
            client = Client(self.ready, timeout_s=2)
        except OSError:
            return False
        try:
            client.send("GET", "/jayhead/readyz", self.ip, {})
            return client.receive().status == 200
        except OSError:
            return False
        finally:
            client.close()

    def await_ready(self, limit_s=40):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return False
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def signal(self, number):
        self.process.send_signal(number)
        self.record.write("%s gets %s" % (self.name, signal.Signals(number).name))

    def log_lines(self, *words):
        """Returns the lines of the router's log that have all the words."""
        with open(self.output, encoding="utf-8", errors="replace") as file:
            return [line.rstrip() for line in file if all(word in line for word in words)]

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Place:
    """The temporary folder and the ports of one run; closes everything that was started."""

    def __init__(self, case_folder):
        self.folder = tempfile.mkdtemp(prefix="jayhead-review-")
        ports = free_ports(4)
        self.front_port, self.ready_port, self.control_port, self.peer_port = ports
        self.record = Record(case_folder)
        self.parts = []

    def add(self, part):
        self.parts.append(part)
        return part

    def store(self):
        return self.add(Store(self.record))

    def engine(self, store, name, service, handler, **options):
        return self.add(Engine(store, self.record, name, service, handler, **options))

    def router(self, number, store):
        return self.add(Router(self, number, store, self.record))

    def close(self):
        for part in reversed(self.parts):
            try:
                part.close()
            except OSError:
                pass
        self.record.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in " + self.folder)


def route(name, prefix, kind, service, **fields):
    """Returns a route of the configuration; the figures are those of the small deployments."""
    base = {
        "Name": name,
        "Host": "shop.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 15000,
        "GoalMs": 1000,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "Public": False,
        "Sticky": kind == "streaming",
        "Resumable": False,
    }
    if kind == "streaming":
        base["GapAimMs"] = 600
    base.update(fields)
    return base


MODEL_ENGINE = {
    "Slots": 64,
    "KvTokens": 439142,
    "KvBytes": 18432,
    "LinkMbps": 370000.0,
    "Moves": True,
    "Backups": True,
    "Stride": 5,
    "most": 12,
    "PinMs": 4000.0,
    "HoldMs": 2000.0,
    "HandleS": 5.0,
    "Models": [{"Name": "m"}],
}


def service(name, model=False, connections=360):
    base = {"Name": name, "HealthPath": "/healthz", "MaxConns": connections, "Protocol": "h1", "Tls": False}
    if model:
        base["Engine"] = MODEL_ENGINE
    return base


def configuration(version, routes, services, tenants=None):
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": tenants
        or [{"Name": "tenant-1", "ApiKeys": ["key-1"], "Priority": 1, "Prepaid": 1000000000}],
    }


def run(case_folder, play):
    """Plays a case, writes its result to the record, ends all that was started, and exits with 0, 1 or 2."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    place = Place(case_folder)
    result, text = COULD_NOT_RUN, "was ended from outside"
    try:
        result, text = play(place)
    except Exception as failure:  # a case that could not run says why
        text = "could not run: %r" % failure
    finally:
        place.record.write("result %d: %s" % (result, text))
        place.close()
        print("%s: exit %d (%s)" % (os.path.basename(case_folder), result, text))
        sys.stdout.flush()
        os._exit(result)
