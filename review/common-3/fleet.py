"""A small fleet for the scripts of this review: store, runners, instances.

The store and the runners are stand-ins of the pages; the instances are started
with the command of deploy/system.toml. Only loopback addresses are used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
REASONS = {200: "OK", 410: "Gone", 421: "Misdirected Request"}


def find_free_ports(host, count):
    """Returns ports that are free on a host."""
    sockets = []
    try:
        for _ in range(count):
            held = socket.socket()
            sockets.append(held)
            held.bind((host, 0))
        return [held.getsockname()[1] for held in sockets]
    finally:
        for held in sockets:
            held.close()


def find_free_pair(host):
    """Returns the first of two ports in a row that are free."""
    while True:
        (first,) = find_free_ports(host, 1)
        with socket.socket() as tcp, contextlib.suppress(OSError):
            if first < 65_000:
                tcp.bind((host, first + 1))
                return first


async def read_head(reader):
    """Returns the first line of a message and its headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def make_answer(status, headers, body=b""):
    """Returns a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text):
        """Adds a line."""
        at_s = time.monotonic() - self._start
        self._file.write(f"{at_s:9.3f} {text}\n")

    def close(self):
        """Ends the record."""
        self._file.close()


class Store:
    """The platform's store: items, a history, range and watch calls."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self._changed = asyncio.Event()

    def put(self, key, document):
        """Writes a key."""
        self.revision += 1
        item = {"key": key, "value": document, "revision": self.revision}
        self.items[key] = item
        self._note(item)

    def delete(self, key):
        """Removes a key."""
        self.revision += 1
        del self.items[key]
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def listen(self):
        """Begins to serve; returns the port."""

        async def serve(reader, writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    line, _ = await read_head(reader)
                    body = await self._answer(line.split(" ")[1])
                    writer.write(
                        make_answer(
                            200,
                            (
                                ("Content-Type", "application/json"),
                                ("Store-Era", "1"),
                            ),
                            body,
                        )
                    )
                    await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _answer(self, target):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        prefix = fields.get("path_prefix", "")
        if path == "/-/kv-range":
            items = [
                self._encode(item)
                for key, item in sorted(self.items.items())
                if key.startswith(prefix)
            ]
            found = {"items": items, "has_more": False}
        else:
            after = int(fields["after"])
            end_s = time.monotonic() + int(fields.get("wait_ms", 0)) / 1_000
            while True:
                events = [
                    self._encode(event)
                    for event in self.history
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    break
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
            found = {"events": events}
        found["store_revision"] = self.revision
        return json.dumps(found).encode()

    @staticmethod
    def _encode(item):
        if item.get("deleted"):
            return item
        text = json.dumps(item["value"]).encode()
        return {
            **item,
            "value": base64.b64encode(text).decode(),
            "lease": 0,
            "created": item["revision"],
        }


class Instance:
    """An entry instance of the project, started as the deploy file says."""

    def __init__(self, folder, host, zone, ports, store_port, seeds, **limits):
        self.host = host
        self.zone = zone
        self.ports = ports
        self._folder = folder
        self._log = open(folder / f"{host}.log", "ab")
        self._path = folder / f"{host}.yaml"
        self.process = None
        settings = {
            "node_name": f"edge-{host}",
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": host,
            "zone": zone,
            "region": "r",
            "zones": {"z-a": "r", "z-b": "r", "z-c": "r"},
            "listen": {
                "frontend": f"{host}:{ports['frontend']}",
                "ready": f"{host}:{ports['ready']}",
                "control_plane": f"{host}:{ports['control']}",
            },
            "internal_ports": [ports["internal"], ports["internal"] + 1],
            "seeds": [f"{seed}:{ports['control']}" for seed in seeds],
            "first_start": True,
            "limits": {"memory_mb": 300, "max_fds": 4100, **limits},
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 56,
                "quota_window_s": 8,
                "quota_overage": 0.25,
                "quota_slack": 140000,
                "recover_s": 12,
            },
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
            },
        }
        # JSON is YAML.
        self._path.write_text(json.dumps(settings))

    async def start(self):
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["edge"]["run"].split(" ")
        environ = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environ["PERIDOTBEND_CONFIG"] = str(self._path)
        environ["PYTHONPATH"] = str(ROOT / "target/deps")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environ,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    async def wait_ready(self):
        """Waits until the instance says that it is ready."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ports["ready"]
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if " 200 " in line + " ":
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.host} is not ready")

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self):
        """Ends the process."""
        if self.process is not None:
            self.kill(signal.SIGCONT)
            self.kill()
            await self.process.wait()
        self._log.close()

    def read_status(self, name):
        """Returns a number in kB of /proc/PID/status."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1])
        return 0


def choose_ports(host):
    """Returns ports for instances that listen on hosts of their own."""
    frontend, ready, control = find_free_ports(host, 3)
    return {
        "frontend": frontend,
        "ready": ready,
        "control": control,
        "internal": find_free_pair(host),
    }


def make_folder():
    """Returns a temporary folder."""
    return pathlib.Path(tempfile.mkdtemp(prefix="review-"))
