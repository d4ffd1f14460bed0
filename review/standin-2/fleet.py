"""Stand-ins of the users' platform for the scripts of this review.

A store, servers and clients as PROTOCOL.md describes them, and the project's own program as
separate processes, each on its own loopback address. Everything runs on the real clock in one
event loop; only the program under test runs in other processes.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT, READY, DIRECTORY, CONTROL, PEERS, METRICS = 8381, 8388, 8383, 8382, 7200, 9464
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "x.example"


class CantRun(Exception):
    """The case couldn't run; the rule was not tested."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.lines, self.path, self.start = [], path, time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append((self.now(), text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at:9.3f} s  {text}\n")


async def read_head(reader):
    """First line and headers (names in lower case); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def listen(handler, host, port=0):
    async def serve(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, limit=1 << 20)


class Store:
    """The platform's store: items, revisions, watches, conditional writes and leases."""

    def __init__(self):
        self.revision, self.items, self.history = 1, {}, []
        self.changed, self.server, self.address, self.leases = asyncio.Event(), None, None, 0

    async def start(self):
        self.server = await listen(self.handle, "127.0.0.1")
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def commit(self, writes=(), removals=()):
        """One change; its return is the acknowledgement."""
        self.revision += 1
        for key, value in writes:
            created = self.items.get(key, {}).get("create_revision", self.revision)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "rev": self.revision,
                "create_revision": created,
                "lease": 0,
            }
            self.items[key] = item
            self.history.append(item)
        for key in removals:
            if self.items.pop(key, None):
                self.history.append({"key": key, "rev": self.revision, "removed": True})
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, headers = head
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            path, _, text = target.partition("?")
            query = dict(part.partition("=")[::2] for part in text.split("&") if part)
            await asyncio.sleep(0.004)
            status, value = await self.call(method, path, query, body)
            body = json.dumps(value).encode()
            writer.write(response(status, body, ["Content-Type: application/json"]))
            await writer.drain()

    async def call(self, method, path, query, body):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "more_pages": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/api/kv-watch":
            end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                events = [e for e in self.history if e["rev"] > int(after or 0)]
                events = [e for e in events if e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if path == "/api/kv-txn":
            txn = json.loads(body)
            rows = txn.get("expected", [])
            at = lambda key: self.items.get(key, {}).get("rev", 0)
            if any(at(row["key"]) != row["rev"] for row in rows):
                return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
            writes = [(w["key"], base64.b64decode(w["value"])) for w in txn.get("writes", [])]
            self.commit(writes, txn.get("remove", []))
            return 200, {"rev": self.revision}
        if path == "/api/kv-lease":
            self.leases += 1
            return 200, {"lease": self.leases, "ttl_ms": json.loads(body)["ttl_ms"]}
        return 404, {}


class Proxy:
    """Forwards connections; those that are open can be made silent for good, or all of them."""

    def __init__(self, target):
        self.target, self.links, self.server, self.address = target, {}, None, None
        self.mute = False

    async def start(self):
        self.server = await listen(self.handle, "127.0.0.1")
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def handle(self, reader, writer):
        if self.mute:
            # Accepted and never answered.
            await reader.read()
            return
        host, port = self.target.split(":")
        other_reader, other_writer = await asyncio.open_connection(host, int(port))
        link = {"silent": False}
        self.links[id(link)] = link

        async def forward(source, sink):
            while data := await source.read(65536):
                if link["silent"]:
                    await asyncio.Event().wait()
                sink.write(data)
                await sink.drain()

        ways = [asyncio.create_task(forward(reader, other_writer)),
                asyncio.create_task(forward(other_reader, writer))]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            other_writer.close()
            self.links.pop(id(link), None)

    def silence(self):
        """No byte passes any more on the connections that are open; new ones work."""
        for link in self.links.values():
            link["silent"] = True
        return len(self.links)


class Server:
    """A sound server: it registers, runs `slots` requests at a time and queues the rest."""

    def __init__(self, store, record, name, service, ip, zone, slots=6, work=0.06):
        self.store, self.record, self.id, self.service = store, record, name, service
        self.ip, self.zone, self.slots, self.work = ip, zone, slots, work
        self.born = int(time.time() * 1000)
        self.running, self.waiting, self.leaving = 0, 0, False
        self.free = asyncio.Semaphore(slots)
        self.server, self.address, self.writers = None, None, set()
        self.arrivals, self.runs = [], []

    async def start(self):
        self.server = await listen(self.handle, self.ip)
        self.address = "%s:%d" % (self.ip, self.server.sockets[0].getsockname()[1])
        self.register("ready")

    def entry(self, state):
        value = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        return "servers/" + self.id, json.dumps(value).encode()

    def register(self, state):
        self.store.commit([self.entry(state)])

    def end(self):
        """The process exits: its connections end."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                await self.answer(line, headers, body, writer)
        finally:
            self.writers.discard(writer)

    def load(self):
        return f"X-Server-Load: {self.running},{self.waiting},{self.slots},100"

    async def answer(self, line, headers, body, writer):
        path, request = line.split(" ")[1], headers.get("x-request-id")
        if path == "/health":
            status = 503 if self.leaving else 200
            writer.write(response(status, b"", [f"X-Instance-Id: {self.id}", self.load()]))
            await writer.drain()
            return
        echo = [f"X-Request-Id: {request}", self.load()]
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(response(421, b"", [*echo, "X-Not-Executed: 1"]))
            await writer.drain()
            return
        self.arrivals.append((self.record.now(), request))
        self.record.add(f"{request} reaches {self.id} ({line.split(' ')[0]} {path})")
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append((self.record.now(), request))
            try:
                await asyncio.sleep(self.work * random.uniform(0.3, 1.7))
            finally:
                self.running -= 1
        reply = f"{self.id} ran {request}".encode() + b"." * 200
        echo = [f"X-Request-Id: {request}", self.load(), f"X-Server-Signature: {self.id}.{request}"]
        writer.write(response(200, reply, echo))
        await writer.drain()


def configuration(version, routes, services, idle_ms=20000):
    """A configuration; `routes` are (prefix, type, service, timeout_ms)."""
    columns = ["name", "host", "prefix", "type", "timeout_ms", "target_latency_ms", "priority"]
    columns += ["max_attempts", "service"]
    rows = [[p, HOST, p, kind, t, 300, 1, 2, s] for p, kind, s, t in routes]
    value = {
        "version": f"r{version}",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_connections", "warmup_s", "warmup_per_s"],
            "rows": [[name, "/health", 220, 3.0, 21.0] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 8388608,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": idle_ms,
        },
    }
    return ("op/config", json.dumps(value).encode())


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "touch_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "lost_ms": 200, "config_ms": 2000, "back_ms": 250,
    "outer_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58,
    "cold_over": 1.5, "cold_slack": 5, "evac_ms": 5000, "recover_s": 15, "ttl_max_s": 5,
    "probes_per_s": 60,
}


class Entry:
    """One machine with the role of the deploy file."""

    def __init__(self, folder, name, ip, zone, zones, seeds, store, bootstrap=True, platform=None):
        self.ip, self.zone, self.name, self.process = ip, zone, name, None
        self.settings = {
            "node_name": name, "role": "entry", "machine_class": "edge",
            "serves": ["edge", "directory", "control"], "ip": ip, "zone": zone, "region": "r",
            "zones": {zone: "r" for zone in zones},
            "listen": {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}",
                       "control": f"{ip}:{CONTROL}", "directory": f"{ip}:{DIRECTORY}"},
            "port_range": [PEERS, PEERS + 15], "seeds": [f"{seed}:{CONTROL}" for seed in seeds],
            "bootstrap": bootstrap, "in_tolerance": False,
            "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry_point": "directory",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health",
                          "places", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": platform or store.address, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
        }
        self.path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.save()

    def save(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    def start(self):
        command = [os.path.join(ROOT, "target/release/wagtailsaddle"), "entry"]
        command += ["--metrics-port", str(METRICS)]
        if not os.access(command[0], os.X_OK):
            raise CantRun("the program isn't built")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"WAGTAILSADDLE_SETTINGS": self.path, "PATH": os.environ.get("PATH", "")})

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def get(self, port, path):
        return await fetch(self.ip, port, f"GET {path} HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())

    async def dump(self):
        status, _, body = await self.get(METRICS, "/dump")
        return json.loads(body)


async def fetch(ip, port, data, limit=5.0):
    """Sends one request on a new connection; (status, headers, body), status None if cut."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(data)
            await writer.drain()
            return await read_response(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b""


async def read_response(reader):
    head = await read_head(reader)
    if head is None:
        return None, {}, b""
    line, headers = head
    return int(line.split(" ")[1]), headers, await read_body(reader, headers)


class Request:
    """One client attempt."""

    def __init__(self, number, prefix, method="GET", body=b"", deadline_ms=2000):
        self.id = f"q{number:05d}-{random.randrange(1 << 32):08x}"
        self.method, self.path, self.body = method, prefix + f"n{number}/", body
        self.deadline_ms, self.sent, self.status, self.answered = deadline_ms, None, None, None
        self.refused_connection = False

    def encode(self):
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {self.id}",
                 f"X-Deadline-Ms: {self.deadline_ms}"]
        if self.body:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body

    async def send(self, record, ip):
        self.sent = record.now()
        status, _, body = await fetch(ip, FRONT, self.encode(), self.deadline_ms / 1000 + 1)
        self.status, self.answered = status, record.now()
        if status == 200 and self.id.encode() not in body:
            record.add(f"{self.id} got the body of another request")
        record.add(f"{self.id} {self.method} {self.path} sent at {self.sent:.3f} to {ip}: "
                   f"{status if status else 'no answer'}")


class Fleet:
    """Entry processes, a store and servers on loopback addresses of their own."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp()
        pid = os.getpid()
        self.base = f"127.{100 + pid % 100}.{(pid // 100) % 200 + 1}"
        self.store, self.entries, self.servers, self.numbers = Store(), [], [], 0

    def ip(self, number):
        return f"{self.base}.{number}"

    async def add_server(self, service, zone, **options):
        name = f"i-{service}-{len(self.servers)}"
        ip = self.ip(100 + len(self.servers))
        server = Server(self.store, self.record, name, service, ip, zone, **options)
        await server.start()
        self.servers.append(server)
        return server

    async def make_entries_with_proxies(self, zones):
        """Entries of which each reaches the store through a proxy of its own, `entry.proxy`."""
        self.make_entries(zones)
        for entry in self.entries:
            entry.proxy = Proxy(self.store.address)
            await entry.proxy.start()
            entry.settings["platform"]["address"] = entry.proxy.address
            entry.save()

    def make_entries(self, zones, platform=None):
        ips = [self.ip(number + 1) for number in range(len(zones))]
        for number, zone in enumerate(zones):
            self.entries.append(Entry(self.temp, f"edge-{zone}-{number}", ips[number], zone,
                                      sorted(set(zones)), ips[:3], self.store, platform=platform))

    async def wait_ready(self, entries=None, limit=20):
        """Until these are ready and know each other and all servers."""
        entries = entries or self.entries
        end = time.monotonic() + limit
        while time.monotonic() < end:
            states = []
            for entry in entries:
                if entry.process.poll() is not None:
                    raise CantRun(f"{entry.name} has ended")
                try:
                    dump = await entry.dump()
                    live = sum(peer["live"] for peer in dump["peers"])
                    states.append(dump["standing"]["ready"] and live >= len(entries) - 1
                                  and len(dump["targets"]) >= len(self.servers))
                except (TypeError, ValueError, KeyError):
                    states.append(False)
            if all(states):
                return
            await asyncio.sleep(0.2)
        raise CantRun("the instances didn't become ready")

    def request(self, prefix, **options):
        self.numbers += 1
        return Request(self.numbers, prefix, **options)

    def stop(self):
        for entry in self.entries:
            entry.kill()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.temp)


def main(folder, case):
    """Runs `case(fleet)`, which returns (broken, text); exits with 1, 0 or 2."""
    async def run():
        fleet = Fleet(folder)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        try:
            await fleet.store.start()
            return await asyncio.wait_for(case(fleet), 110)
        finally:
            fleet.stop()
            fleet.record.write()
    try:
        broken, text = asyncio.run(run())
    except Exception as err:  # Also a mistake in a case: it has shown nothing.
        print(f"couldn't run: {err!r}")
        sys.exit(2)
    print(text)
    with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as file:
        file.write(text + "\n")
    sys.exit(1 if broken else 0)
