"""Services of the fleets under test, and the calls of their callers."""

import concurrent.futures
import hashlib
import http.client
import json
import threading
from collections.abc import Mapping, Sequence
from typing import Any

from peridotbend_emulator.client import HttpReply, call_http, make_chat
from peridotbend_emulator.enginestream import make_answer
from peridotbend_emulator.fleet import Fleet

ZONES = ("hcm-1", "hcm-2")
BROKEN = "broken"
KEYS = {"gym": "key-of-gym", "shop": "key-of-shop"}
CLIENTS = {
    name: {"bearer_sha256": hashlib.sha256(key.encode()).hexdigest()}
    for name, key in KEYS.items()
}


def make_kind(
    method: str, path: str, tier: str, idempotent: bool, **more: Any
) -> dict[str, Any]:
    """Returns a request kind as the configuration describes it."""
    return {
        "tier": tier,
        "idempotent": idempotent,
        "deadline": "20s",
        "route": {"method": method, "path": path},
        **more,
    }


def make_services(**confirm: Any) -> dict[str, dict[str, Any]]:
    """Returns a model service and an order service.

    `confirm` sets fields of the order kind.
    """
    order = make_kind("POST", "/v1/orders", "high", False, **confirm)
    return {
        "orders": {"engine": "application", "kinds": {"confirm": order}},
        "assistant": {
            "engine": "model",
            "kinds": {
                "chat": make_kind("POST", "/v1/chat/completions", "low", True)
            },
        },
    }


def reserve(fleet: Fleet, entry: str) -> str:
    """Reserves an ID for an order and returns it."""
    body = json.dumps({"service": "orders", "kind": "confirm"}).encode()
    address = fleet.caller_address(entry)
    reply = call_http("POST", address, "/v1/reservations", body)
    assert reply.status == 201, reply
    token: str = reply.json()["id"]
    return token


def send_order(fleet: Fleet, entry: str, token: str) -> str:
    """Sends an order; returns the verdict, or BROKEN if the call failed."""
    try:
        reply = call_http(
            "POST",
            fleet.caller_address(entry),
            "/v1/orders",
            json.dumps({"order": token[:8]}).encode(),
            {"Idempotency-Key": token},
        )
    except (OSError, http.client.HTTPException):
        return BROKEN
    return reply.verdict


def place_order(fleet: Fleet, entry: str) -> tuple[str, str]:
    """Reserves an ID and sends an order; returns the ID and the verdict."""
    token = reserve(fleet, entry)
    return token, send_order(fleet, entry, token)


def send_chat(
    fleet: Fleet, entry: str, prompt: str, max_tokens: int = 8
) -> HttpReply:
    """Sends a streamed chat completion."""
    return call_http(
        "POST",
        fleet.caller_address(entry),
        "/v1/chat/completions",
        make_chat("any", prompt, max_tokens),
    )


def fetch(fleet: Fleet, entry: str, token: str, key: str = "") -> HttpReply:
    """Fetches the answer of an earlier request."""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    address = fleet.caller_address(entry)
    return call_http("GET", address, f"/v1/requests/{token}", headers=headers)


def read_stream(body: bytes) -> str:
    """Returns the text of a streamed answer, or "" if it is incomplete."""
    lines = [
        line.removeprefix(b"data: ")
        for line in body.splitlines()
        if line.startswith(b"data: ")
    ]
    if b"[DONE]" not in lines:
        return ""
    events = [json.loads(x) for x in lines[: lines.index(b"[DONE]")]]
    return "".join(e["choices"][0]["delta"]["content"] for e in events)


def expect_answer(prompt: str, max_tokens: int) -> str:
    """Returns the complete text that any engine answers to a prompt."""
    return make_answer([{"content": prompt}], max_tokens)


def find_false_verdicts(
    verdicts: Mapping[str, Sequence[str]], ran: Mapping[str, int]
) -> list[str]:
    """Returns the contradictions between verdicts and runs at targets."""
    faults = []
    for token, told in verdicts.items():
        count = ran.get(token, 0)
        if count > 1:
            faults.append(f"{token[:8]} ran {count} times")
        if count and "not-run" in told:
            faults.append(f"{token[:8]} ran but was told {told}")
        if not count and "completed" in told:
            faults.append(f"{token[:8]} never ran but was told {told}")
        unknown = set(told) - {
            "not-run",
            "may-have-run",
            "completed",
            BROKEN,
        }
        if unknown:
            faults.append(f"{token[:8]} was told {unknown}")
    return faults


class OrderBurst:
    """Orders sent concurrently through one entry instance."""

    def __init__(self, fleet: Fleet, entry: str, count: int):
        self._fleet = fleet
        self._entry = entry
        self.tokens = [reserve(fleet, entry) for _ in range(count)]
        self.verdicts: dict[str, list[str]] = {t: [] for t in self.tokens}
        self._pool = concurrent.futures.ThreadPoolExecutor(4 * count)
        self._first_sends = [
            self._submit(entry, token) for token in self.tokens
        ]

    def count_in_flight(self) -> int:
        """Returns the number of orders in flight at targets."""
        lines = self._fleet.read_status(self._entry)["in_flight"]
        return sum(int(line["requests"]) for line in lines)

    def resend(self, entries: Sequence[str]) -> None:
        """Sends all orders again through each instance, concurrently."""
        futures = [self._submit(e, t) for e in entries for t in self.tokens]
        for future in futures:
            future.result()

    def finish(self) -> None:
        """Waits for the first call of each order."""
        for future in self._first_sends:
            future.result()
        self._pool.shutdown()

    def _submit(self, entry: str, token: str) -> concurrent.futures.Future[Any]:
        def send() -> None:
            verdict = send_order(self._fleet, entry, token)
            self.verdicts[token].append(verdict)

        return self._pool.submit(send)


class BackgroundCalls:
    """Calls that threads repeat until `close`."""

    def __init__(self, *calls: Any):
        self._stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(len(calls))
        self._futures = [
            self._pool.submit(self._repeat, call) for call in calls
        ]

    def close(self) -> list[Any]:
        """Stops the threads and returns all results."""
        self._stopped.set()
        results = [
            result for future in self._futures for result in future.result()
        ]
        self._pool.shutdown()
        return results

    def _repeat(self, call: Any) -> list[Any]:
        results = []
        while not self._stopped.is_set():
            results.append(call())
            self._stopped.wait(0.01)
        return results
