"""Demonstrates a small fleet: `python -m peridotbend_emulator.demo`.

Sends requests from callers through entry instances to targets, kills one entry
instance meanwhile, and checks each verdict against what the targets ran.
"""

import collections
import concurrent.futures
import dataclasses
import http.client
import json
import sys
import threading
import time

from peridotbend_emulator.client import HttpReply, call_http, make_chat
from peridotbend_emulator.fleet import Fleet, TargetSpec

SERVICES = {
    "assistant": {
        "engine": "model",
        "kinds": {
            "layout-quote": {
                "tier": "high",
                "idempotent": True,
                "deadline": "20s",
                "route": {
                    "method": "POST",
                    "path": "/v1/chat/completions",
                    "model": "layout-quote",
                },
                "max_body": "1MiB",
            },
            "chat-tag": {
                "tier": "low",
                "idempotent": True,
                "deadline": "10s",
                "route": {
                    "method": "POST",
                    "path": "/v1/chat/completions",
                    "model": "chat-tag",
                },
            },
        },
    },
    "orders": {
        "engine": "application",
        "kinds": {
            "confirm": {
                "tier": "high",
                "idempotent": False,
                "deadline": "5s",
                "route": {"method": "POST", "path": "/v1/orders"},
            },
            "status": {
                "tier": "middle",
                "idempotent": True,
                "deadline": "3s",
                "route": {"method": "GET", "path": "/v1/orders/*"},
            },
        },
    },
}
TARGET_SPECS = (
    TargetSpec("runner-1", "assistant", "hcm-1", "engine"),
    TargetSpec("runner-2", "assistant", "hcm-1", "engine", ("--speed", "0.5")),
    TargetSpec("runner-3", "assistant", "hcm-2", "engine", ("--speed", "0.25")),
    TargetSpec("orders-1", "orders", "hcm-2", "orders", ("--delay-ms", "200")),
)
ZONES = ("hcm-1", "hcm-2")
TIER_BY_KIND = {
    "layout-quote": "high",
    "confirm": "high",
    "status": "middle",
    "chat-tag": "low",
}
ORDER_COUNT = 12
CHAT_COUNT = 24
RESEND_ATTEMPTS = 40
RESEND_DELAY_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one request as its caller sees it."""

    label: str
    kind: str
    request_id: str
    verdict: str
    details: str
    elapsed_ms: int


class Demo:
    """Sends the requests of the demo and collects their outcomes."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._entry_names = sorted(fleet.entries)
        self.killed_entry = self._entry_names[0]
        self._orders_sent = threading.Semaphore(0)

    def run(self) -> list[Outcome]:
        """Sends all requests and kills an entry instance while they run."""
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            jobs = [
                pool.submit(self._send_chat, number)
                for number in range(CHAT_COUNT)
            ]
            jobs += [
                pool.submit(self._send_order, number)
                for number in range(ORDER_COUNT)
            ]
            kill_job = pool.submit(self._kill_entry_mid_run)
            outcomes = [job.result() for job in jobs]
            kill_job.result()
        return outcomes

    def _kill_entry_mid_run(self) -> None:
        # Waits until orders are in flight through the instance.
        for _ in range(ORDER_COUNT // 2):
            self._orders_sent.acquire(timeout=5)
        time.sleep(0.1)
        self._fleet.entries[self.killed_entry].kill()
        print(f"-- killed {self.killed_entry}")

    def _send_chat(self, number: int) -> Outcome:
        is_quote = number % 3 == 0
        kind = "layout-quote" if is_quote else "chat-tag"
        prompt = f"request {number} " + "floor plan " * (800 if is_quote else 8)
        body = make_chat(kind, prompt, 120 if is_quote else 4)
        start = time.monotonic()
        # A load balancer would route callers to all instances but the dead one.
        entry = self._entry_names[1 + number % (len(self._entry_names) - 1)]
        reply = call_http(
            "POST",
            self._fleet.caller_address(entry),
            "/v1/chat/completions",
            body,
        )
        return _make_outcome(f"chat {number}", kind, reply, start, entry)

    def _send_order(self, number: int) -> Outcome:
        """Reserves an ID at one instance; resends through others on failure."""
        entry = self._entry_names[number % len(self._entry_names)]
        start = time.monotonic()
        reserve = json.dumps({"service": "orders", "kind": "confirm"}).encode()
        request_id = call_http(
            "POST",
            self._fleet.caller_address(entry),
            "/v1/reservations",
            reserve,
        ).json()["id"]
        body = json.dumps({"order": number}).encode()
        headers = {"Idempotency-Key": request_id}
        self._orders_sent.release()
        entries_tried = [entry]
        for attempt in range(RESEND_ATTEMPTS):
            try:
                reply = call_http(
                    "POST",
                    self._fleet.caller_address(entries_tried[-1]),
                    "/v1/orders",
                    body,
                    headers,
                )
                break
            except (OSError, http.client.HTTPException):
                entries_tried.append(self._entry_names[1 + attempt % 3])
                time.sleep(RESEND_DELAY_S)
        else:
            raise TimeoutError(f"order {number} got no answer")
        outcome = _make_outcome(
            f"order {number}",
            "confirm",
            reply,
            start,
            " -> ".join(entries_tried),
        )
        return dataclasses.replace(outcome, request_id=request_id)

    def check_status_calls(self) -> list[Outcome]:
        """Requests the status of some orders."""
        outcomes = []
        for number in range(4):
            entry = self._entry_names[1 + number % 3]
            start = time.monotonic()
            reply = call_http(
                "GET",
                self._fleet.caller_address(entry),
                f"/v1/orders/{number}",
            )
            outcomes.append(
                _make_outcome(f"status {number}", "status", reply, start, entry)
            )
        return outcomes


def _make_outcome(
    label: str, kind: str, reply: HttpReply, start: float, details: str
) -> Outcome:
    elapsed_ms = round((time.monotonic() - start) * 1000)
    if reply.code:
        details += f" ({reply.code})"
    return Outcome(
        label, kind, reply.request_id, reply.verdict, details, elapsed_ms
    )


def find_false_verdicts(
    outcomes: list[Outcome], ran: dict[str, int]
) -> list[str]:
    """Returns verdicts that contradict the run counts, and repeated runs."""
    faults = [f"ran {n} times: {t[:8]}" for t, n in ran.items() if n > 1]
    for outcome in outcomes:
        count = ran.get(outcome.request_id, 0)
        if outcome.verdict not in ("completed", "not-run", "may-have-run"):
            faults.append(f"{outcome.label}: no verdict")
        # Status calls only read, so the application does not count them.
        is_counted = outcome.kind != "status"
        if outcome.verdict == "completed" and is_counted and count == 0:
            faults.append(f"{outcome.label}: completed but never ran")
        if outcome.verdict == "not-run" and count > 0:
            faults.append(f"{outcome.label}: not-run but it ran")
    return faults


def read_run_counts(fleet: Fleet) -> dict[str, int]:
    """Returns the number of runs of each request over all targets."""
    ran: collections.Counter[str] = collections.Counter()
    for child in fleet.targets.values():
        reply = call_http("GET", child.address, "/v1/ran")
        ran.update(reply.json()["ran"])
    return dict(ran)


def print_outcomes(outcomes: list[Outcome]) -> None:
    """Prints a line for each request and the verdict counts by tier."""
    for outcome in outcomes:
        print(
            f"{outcome.label:<10} {outcome.kind:<13} {outcome.verdict:<13}"
            f" {outcome.elapsed_ms:>6} ms  {outcome.details}"
        )
    counts: collections.Counter[tuple[str, str]] = collections.Counter(
        (TIER_BY_KIND[outcome.kind], outcome.verdict) for outcome in outcomes
    )
    print(f"\n{'tier':<8}{'completed':>10}{'not-run':>10}{'may-have-run':>14}")
    for tier in ("high", "middle", "low"):
        print(
            f"{tier:<8}{counts[tier, 'completed']:>10}"
            f"{counts[tier, 'not-run']:>10}"
            f"{counts[tier, 'may-have-run']:>14}"
        )


def main() -> int:
    """Runs the demo and returns the exit code."""
    print("-- starting platform, 4 targets and 4 entry instances")
    with Fleet(SERVICES, TARGET_SPECS, ZONES, 2) as fleet:
        demo = Demo(fleet)
        outcomes = demo.run() + demo.check_status_calls()
        ran = read_run_counts(fleet)
    print_outcomes(outcomes)
    faults = find_false_verdicts(outcomes, ran)
    for fault in faults:
        print(f"FALSE VERDICT {fault}")
    repeated_count = sum(count > 1 for count in ran.values())
    print(
        f"\n{len(outcomes)} requests, {repeated_count} ran twice,"
        f" {len(faults)} faults"
    )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
