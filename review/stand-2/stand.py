"""Stand-ins for the cases 6 to 10: the platform's store, engines, clients, and the router as a process of its own.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. Everything listens on loopback addresses and on free ports.
"""
import http.server
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
POOL = 'huvo11a'
DESK = 'wuno96b'
HELD = 0
BROKEN = 1
NOT_RUN = 2
WHOLE_LIMIT_S = 110
# A page of a listing: "about 500 or 1 MB at most".
PAGE_ITEMS = 500
PAGE_BYTES = 1000000
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, 'record.txt'), 'w', encoding='utf-8')

    def __call__(self, text):
        with self.lock:
            self.file.write('%8.3f %s\n' % (time.monotonic() - self.start, text))
            self.file.flush()


class Store:
    """The platform's store: objects with revisions, conditional updates, watches, and returns from an older copy."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.objects = {}
        self.events = []
        self.revision = 1
        self.era = 1
        self.away = False
        self.copy = None
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def log_message(self, *unused):
                pass

            def handle_call(self):
                length = int(self.headers.get('Content-Length') or 0)
                body = self.rfile.read(length)
                era, status, answer = store.call(self.command, self.path, body)
                data = json.dumps(answer, separators=(",", ":")).encode()
                head = 'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n'
                self.wfile.write((head % (status, era, len(data))).encode() + data)

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *unused):
                pass

        self.server = Server(('127.0.0.1', 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Writes an object as the operator and the engines do, and returns the moment of the acknowledgement."""
        with self.changed:
            self._store(kind, name, spec, 'PUT')
        return time.monotonic()

    def delete(self, kind, name):
        with self.changed:
            self._remove(kind, name)

    def keep_copy(self):
        with self.changed:
            self.copy = (dict(self.objects), self.revision)
        self.record('store: a copy is kept at revision %d' % self.copy[1])

    def set_away(self, away):
        with self.changed:
            self.away = away
            self.changed.notify_all()
        self.record('store: ' + ('away' if away else 'back'))

    def restore(self):
        """Goes back to the copy: what was written since is gone, and its revisions are given out again."""
        with self.changed:
            self.objects, self.revision = dict(self.copy[0]), self.copy[1]
            self.events = [event for event in self.events if event[0] <= self.revision]
            self.era += 1
            self.changed.notify_all()
        self.record('store: back at revision %d, era %d' % (self.revision, self.era))

    def _store(self, kind, name, spec, method):
        self.revision += 1
        before = self.objects.get((kind, name))
        created = before['Metadata']['CreatedRev'] if before else self.revision
        stored = {'Metadata': {'Name': name, 'Rev': self.revision, 'CreatedRev': created, 'Finalizers': [],
                               'Deleting': False}, 'Spec': spec, 'Status': None}
        self.objects[(kind, name)] = stored
        self.events.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return stored

    def _remove(self, kind, name):
        removed = self.objects.pop((kind, name), None)
        if removed:
            self.revision += 1
            self.events.append((self.revision, kind, removed, True))
            self.changed.notify_all()

    def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = [urllib.parse.unquote(part) for part in url.path.split('/')[3:]]
        with self.changed:
            if self.away:
                return self.era, 503, {}
            status, answer = self._answer(method, path, query, json.loads(body) if body else {})
            return self.era, status, answer

    def _answer(self, method, path, query, body):
        kind = path[0]
        if method == 'GET' and 'Watch' in query:
            return self._watch(kind, int(query['Watch']), int(query.get('WaitMs', 0)) / 1000.0)
        if method == 'GET' and len(path) > 1:
            found = self.objects.get((kind, path[1]))
            return (200, found) if found else (404, {})
        if method == 'GET':
            names = sorted(name for of, name in self.objects if of == kind and name > query.get('After', ''))
            items, size = [], 0
            for name in names[:PAGE_ITEMS]:
                stored = self.objects[(kind, name)]
                size += len(json.dumps(stored, separators=(',', ':')))
                if items and size > PAGE_BYTES:
                    break
                items.append(stored)
            return 200, {'Items': items, 'More': len(names) > len(items), 'CurrentRev': self.revision}
        name = path[1] if len(path) > 1 else body.get('Metadata', {}).get('Name')
        current = self.objects.get((kind, name))
        if method == 'POST':
            return (409, current) if current else (200, self._store(kind, name, body.get('Spec'), 'POST'))
        if not current:
            return 404, {}
        expected = body.get('Metadata', {}).get('Rev') or query.get('Rev')
        if expected is not None and int(expected) != current['Metadata']['Rev']:
            return 409, current
        if method == 'DELETE':
            self._remove(kind, name)
            return 200, {}
        if body.get('Spec') == current['Spec']:
            return 200, current
        return 200, self._store(kind, name, body.get('Spec'), 'PUT')

    def _watch(self, kind, since, wait_s):
        end = time.monotonic() + min(wait_s, 30)
        era = self.era
        while True:
            if self.away or self.era != era:
                return 503, {}
            if since > self.revision:
                return 410, {}
            found = [{'Deleted': deleted, 'Object': stored}
                     for revision, of, stored, deleted in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {'events': found, 'CurrentRev': self.revision}
            self.changed.wait(left)


class Request:
    def __init__(self, head, body):
        lines = head.split('\r\n')
        self.method, self.path, _ = lines[0].split(' ', 2)
        self.lines = lines[1:]
        self.headers = {}
        for line in self.lines:
            name, _, value = line.partition(':')
            self.headers.setdefault(name.strip().lower(), value.strip())
        self.body = body

    @property
    def id(self):
        return self.headers.get('request-id', '')


def read_request(stream):
    head = b''
    while not head.endswith(b'\r\n\r\n'):
        byte = stream.read(1)
        if not byte:
            return None
        head += byte
    request = Request(head[:-4].decode('latin-1'), b'')
    length = int(request.headers.get('content-length', 0))
    request.body = stream.read(length) if length else b''
    return request


class Engine:
    """An engine: serves one request at a time on a connection; `answer` writes the answer to one that it runs."""

    def __init__(self, name, service, record, answer, slots=64, port=0):
        self.name = name
        self.service = service
        self.record = record
        self.answer = answer
        self.slots = slots
        self.lock = threading.Lock()
        self.runs = []
        self.dead = False
        self.connections = set()
        self.listener = socket.create_server(('127.0.0.1', port), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, state='ready'):
        return {'Service': self.service, 'Address': '127.0.0.1:%d' % self.port, 'Zone': 'ga-east-a', 'Version': 'v1',
                'Slots': self.slots, 'State': state, 'WarmupLeftMs': 0, 'Sequence': 0}

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            if self.dead:
                connection.close()
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def stop(self):
        """Ends the engine at once, as a crash does: it accepts nothing more, and its connections end."""
        self.dead = True
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            ended = list(self.connections)
        for connection in ended:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _serve(self, connection):
        try:
            with connection, connection.makefile('rb') as stream:
                while not self.dead:
                    request = read_request(stream)
                    if request is None:
                        return
                    if request.headers.get('expect-instance', self.name) != self.name:
                        connection.sendall(('HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n'
                                            'Content-Length: 0\r\n\r\n' % (request.id, self.name)).encode())
                        continue
                    if self.answer(self, connection, request) is False:
                        return
        except OSError:
            pass

    def run(self, request):
        """Notes that the engine begins to work on a request."""
        with self.lock:
            self.runs.append(request.id)
        self.record('engine %s runs %s' % (self.name, request.id))


def head(request, more='', status='200 OK'):
    return ('HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n%s\r\n'
            % (status, request.id, more)).encode()


def chunk(data):
    return b'%x\r\n' % len(data) + data + b'\r\n'


def event(number, size=55):
    text = 'id: %d\ndata: ' % number
    return (text + 'x' * max(1, size - len(text) - 2) + '\n\n').encode()


class Answer:
    """An answer as a client sees it."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False
        self.fault = ''

    def __str__(self):
        end = 'complete' if self.complete else 'cut off (%s)' % self.fault
        seal = 'with' if 'server-seal' in self.headers else 'without'
        return 'status %d, %s a seal, %d bytes of body, %s' % (self.status, seal, len(self.body), end)


class Client:
    """A client with one connection; reads at `bytes_per_s` if that is set, else as fast as it can."""

    def __init__(self, port, record, small_windows=False):
        self.record = record
        self.socket = socket.socket()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if small_windows:
            # What an Ethernet link has; a loopback link has segments of 64 KB and windows of megabytes.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self.socket.settimeout(60)
        self.socket.connect(('127.0.0.1', port))
        self.pending = b''

    def send(self, request_id, method, path, body=b'', deadline_ms=15000, more='', key=KEY):
        lines = ['%s %s HTTP/1.1' % (method, path), 'Host: ' + HOST, 'Request-Id: ' + request_id,
                 'Deadline-Ms: %d' % deadline_ms, 'Api-Key: ' + key]
        if more:
            lines.append(more)
        if body or method == 'POST':
            lines.append('Content-Length: %d' % len(body))
        self.socket.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)
        self.record('client sends %s: %s %s' % (request_id, method, path))

    def receive(self, request_id, bytes_per_s=0):
        """Reads one answer and returns it; an answer that ends early is not complete."""
        answer = Answer()
        reader = _Reader(self, bytes_per_s)
        try:
            while True:
                head_text = reader.until(b'\r\n\r\n').decode('latin-1')
                lines = head_text.split('\r\n')
                answer.status = int(lines[0].split(' ')[1])
                answer.headers = {line.split(':')[0].strip().lower(): line.split(':', 1)[1].strip()
                                  for line in lines[1:] if ':' in line}
                if answer.status >= 200:
                    break
            if 'chunked' in answer.headers.get('transfer-encoding', ''):
                while True:
                    size = int(reader.until(b'\r\n').split(b';')[0], 16)
                    data = reader.exactly(size + 2, answer if size else None)
                    if size == 0:
                        break
            elif 'content-length' in answer.headers:
                reader.exactly(int(answer.headers['content-length']), answer, trailer=0)
            answer.complete = True
        except (OSError, EOFError, ValueError) as fault:
            answer.fault = str(fault) or type(fault).__name__
        self.record('client got %s: %s' % (request_id, answer))
        return answer

    def close(self):
        self.socket.close()


class _Reader:
    def __init__(self, client, bytes_per_s):
        self.client = client
        self.bytes_per_s = bytes_per_s
        self.read_bytes = 0
        self.started_at = time.monotonic()

    def _more(self):
        size = max(1024, self.bytes_per_s // 200) if self.bytes_per_s else 65536
        if self.bytes_per_s:
            due = self.started_at + float(self.read_bytes) / self.bytes_per_s
            time.sleep(max(0, due - time.monotonic()))
        data = self.client.socket.recv(size)
        if not data:
            raise EOFError('connection closed')
        self.read_bytes += len(data)
        self.client.pending += data

    def until(self, mark):
        while mark not in self.client.pending:
            self._more()
        found, _, self.client.pending = self.client.pending.partition(mark)
        return found

    def exactly(self, size, answer, trailer=2):
        left = size
        while left > 0:
            if not self.client.pending:
                self._more()
            part = self.client.pending[:left]
            self.client.pending = self.client.pending[len(part):]
            if answer is not None:
                body = part[:max(0, left - trailer)]
                answer.body += body
            left -= len(part)


class Router:
    """A router, started with the command of deploy/system.toml and a settings file in a temporary folder."""

    def __init__(self, name, store_port, folder, record, bounds):
        self.name = name
        self.record = record
        self.folder = folder
        self.front, self.ready, self.peers = free_port(), free_port(), free_port()
        self.settings = os.path.join(folder, name + '.yaml')
        with open(self.settings, 'w', encoding='utf-8') as file:
            file.write(SETTINGS % dict(bounds, name=name, front=self.front, ready=self.ready, peers=self.peers,
                                       store=store_port))
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, 'deploy', 'system.toml'), encoding='utf-8') as deploy:
            command = re.search(r'^run = "([^"]*)"', deploy.read(), re.M).group(1).split(' ')
        variables = {name: os.environ[name] for name in ('PATH', 'HOME', 'JAVA_HOME', 'LANG') if name in os.environ}
        variables['JAYHEAD_CONFIG'] = self.settings
        log = open(os.path.join(self.folder, self.name + '.log'), 'ab')
        self.process = subprocess.Popen(command, cwd=ROOT, env=variables, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.record('router %s starts' % self.name)

    def is_ready(self):
        try:
            with socket.create_connection(('127.0.0.1', self.ready), 1) as check:
                check.sendall(b'GET /jayhead/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                return check.makefile('rb').readline().split(b' ')[1] == b'200'
        except (OSError, IndexError):
            return False

    def await_ready(self, limit_s=40):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.is_ready():
                self.record('router %s is ready' % self.name)
                return
            time.sleep(0.1)
        raise Unable('router %s is not ready in %d s' % (self.name, limit_s))

    def signal(self, which):
        self.record('router %s gets %s' % (self.name, signal.Signals(which).name))
        self.process.send_signal(which)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Unable(Exception):
    """The case could not run."""


class Case:
    """Runs a case with its store, engines and routers, and ends them all."""

    def __init__(self, folder):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix='review-2-')
        self.routers = []
        self.store = Store(self.record)

    def engine(self, name, service, answer, slots=64):
        made = Engine(name, service, self.record, answer, slots)
        self.store.put('servers', name, made.entry())
        return made

    def start_routers(self, count, bounds=None):
        for number in range(1, count + 1):
            name = 'front-ga-east-a-%d' % number
            self.routers.append(Router(name, self.store.port, self.folder, self.record, bounds or BONSAI_STAY))
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.await_ready()
        # Each router learns of the others with its next reading of their list.
        time.sleep(3)

    def run(self, check):
        """Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
        def interrupted(*unused):
            raise Unable('out of time')

        signal.signal(signal.SIGALRM, interrupted)
        signal.signal(signal.SIGTERM, interrupted)
        signal.alarm(WHOLE_LIMIT_S)
        status = NOT_RUN
        try:
            broken = check(self)
            status = BROKEN if broken else HELD
            self.record('result: ' + (broken or 'the rule held'))
            print(broken or 'the rule held')
        except Unable as reason:
            self.record('result: could not run: %s' % reason)
            print('could not run: %s' % reason)
        finally:
            signal.alarm(0)
            for router in self.routers:
                router.end()
            if os.environ.get('KEEP_LOGS'):
                print(self.folder)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)


def configuration(version=7, prepaid=3828212, call_ms=600):
    """A configuration like that of bonsai-stay, with a route of each of its kinds of request."""
    def route(name, prefix, kind, timeout_ms, goal_ms, priority, service, attempts, resumable=False, gap=0):
        made = {'Name': name, 'Host': HOST, 'PathPrefix': prefix, 'Kind': kind, 'TimeoutMs': timeout_ms,
                'GoalMs': goal_ms, 'Priority': priority, 'Service': service, 'MaxAttempts': attempts, 'Public': False}
        if kind == 'streaming':
            made.update({'Sticky': True, 'Resumable': resumable, 'GapAimMs': gap})
        return made

    routes = [route('r-plan', '/lohu930/', 'streaming', 15000, 1000, 1, POOL, 1, False, 600),
              route('r-chat', '/pufi791/', 'streaming', 15000, 500, 0, POOL, 2, True, 600),
              route('r-book', '/puxa403/', 'unsafe', call_ms, 100, 2, DESK, 1),
              route('r-look', '/cufi504/', 'safe', call_ms, 100, 2, DESK, 2)]
    services = [{'Name': POOL, 'HealthPath': '/healthz', 'MaxConns': 360, 'Protocol': 'h1', 'Tls': False,
                 'Engine': {'Slots': 64, 'KvTokens': 439142, 'KvBytes': 18432, 'LinkMbps': 370000.0, 'Moves': True,
                            'Backups': True, 'Stride': 5, 'most': 12, 'PinMs': 4000.0, 'HoldMs': 2000.0,
                            'HandleS': 5.0, 'Models': [{'Name': 'm'}]}},
                {'Name': DESK, 'HealthPath': '/healthz', 'MaxConns': 96, 'Protocol': 'h1', 'Tls': False}]
    return {'Version': version, 'Routes': routes, 'Services': services,
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304, 'HeaderTimeoutMs': 3000,
                       'IdleTimeoutMs': 15000},
            'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY], 'Priority': 1, 'Prepaid': prepaid}]}



BONSAI_STAY = dict(stable_ms=3000, ack_ms=4000, drain_ms=2000, apply_ms=2000)
PLAGIATWACHT = dict(stable_ms=4000, ack_ms=6000, drain_ms=3000, apply_ms=3000)

SETTINGS = '''NodeName: "%(name)s"
Role: "router"
MachineClass: "front"
Serves: ["front"]
Ip: "127.0.0.1"
Zone: "ga-east-a"
Region: "ga-east"
Zones: {ga-east-a: "ga-east", ga-east-b: "ga-east", ga-east-c: "ga-east"}
Listen: {Front: "127.0.0.1:%(front)d", Ready: "127.0.0.1:%(ready)d"}
PortRange: [%(peers)d, %(peers)d]
Seeds: []
Bootstrap: true
LossCounts: false
Limits: {CpuShare: 0.75, Cores: 1, MemoryMb: 280, MaxFds: 4200, LinkMbps: 1000.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
Policies: [base, drain, config, cost, retry, recover, engine, stream, tenants, platform]
FaultTolerance: {Machines: 2, Zones: 0, Regions: 0}
Bounds: {SeedLagS: 3, AddrReuseS: 2, StableMs: %(stable_ms)d, AckMs: %(ack_ms)d, CatchUpS: 4, DrainMs: %(drain_ms)d, GraceS: 8,
  LossSlackMs: 200, ConfigApplyMs: %(apply_ms)d, RollbackSlackMs: 250, OuterMs: 5000, RevokeStrict: false, RevokeMs: 5000,
  RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 52, RecoverS: 12, PassMs: 120, AgainS: 9.8, settle_ms: 1500}
Platform: {Address: "127.0.0.1:%(store)d", form: "objects", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20,
  ValueBytes: 1048576, TtlMinMs: 1000}
'''
