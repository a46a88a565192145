"""Limits client accounts in work per second and concurrent requests."""

import dataclasses
import math
from collections.abc import Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.text import ClientAccount
from peridotbend.domain.verdicts import NotRun, Reason

ANONYMOUS = "anonymous"
# An idle account accumulates unused rate for up to this long.
BURST_MS = 2_000
# Mean duration of a hold, assumed until the first request of an account has
# ended.
DEFAULT_HOLD_TIME_MS = 1_000
HOLD_TIME_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class _Usage:
    level: float
    refilled_at_ms: int
    concurrent: int = 0
    mean_hold_time_ms: float = DEFAULT_HOLD_TIME_MS


@dataclasses.dataclass(frozen=True, slots=True)
class AccountHold:
    """What one request takes of its account's limits until `release`."""

    account: str
    work: float
    taken_at_ms: int


class ClientLimits:
    """Admits requests within the limits of their accounts.

    Accounts missing from the configuration use the limits of `anonymous`.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._accounts: dict[str, ClientAccount] = {}
        self._usage: dict[str, _Usage] = {}

    def apply(self, clients: Iterable[ClientAccount]) -> None:
        """Applies the limits of a new configuration and keeps current holds."""
        self._accounts = {client.name: client for client in clients}
        self._usage = {
            name: usage
            for name, usage in self._usage.items()
            if name in self._accounts or usage.concurrent
        }

    def find_weight(self, account: str) -> int:
        """Returns the weight of an account in fair sharing."""
        return max(1, self._find(account).weight)

    def admit(self, account: str, work: float) -> AccountHold | NotRun:
        """Takes work tokens and a concurrency slot of the account, or refuses.

        A request larger than the bucket is admitted if the bucket is full.
        The level then becomes negative. Otherwise such a request would be
        refused for ever.
        """
        client = self._find(account)
        usage = self._refill(client)
        if 0 < client.max_concurrent <= usage.concurrent:
            wait_ms = usage.mean_hold_time_ms / usage.concurrent
            return NotRun(Reason.CLIENT_LIMIT, max(1, math.ceil(wait_ms)))
        if client.work_per_s > 0:
            needed = min(work, _find_bucket_size(client)) - usage.level
            if needed > 0:
                wait_ms = needed * 1_000 / client.work_per_s
                return NotRun(Reason.CLIENT_LIMIT, math.ceil(wait_ms))
            usage.level -= work
        usage.concurrent += 1
        return AccountHold(client.name, work, self._clock.now_ms())

    def release(self, hold: AccountHold, ran: bool) -> None:
        """Ends a hold; refunds its work tokens if the request did not run."""
        usage = self._usage[hold.account]
        usage.concurrent -= 1
        if ran:
            held_ms = self._clock.now_ms() - hold.taken_at_ms
            difference_ms = held_ms - usage.mean_hold_time_ms
            usage.mean_hold_time_ms += HOLD_TIME_SMOOTHING * difference_ms
            return
        client = self._find(hold.account)
        usage.level = min(usage.level + hold.work, _find_bucket_size(client))

    def dump(self) -> dict[str, object]:
        """Returns the current usage of each account."""
        return {
            name: {"concurrent": usage.concurrent, "level": usage.level}
            for name, usage in self._usage.items()
        }

    def _find(self, account: str) -> ClientAccount:
        found = self._accounts.get(account) or self._accounts.get(ANONYMOUS)
        return found or ClientAccount(ANONYMOUS)

    def _refill(self, client: ClientAccount) -> _Usage:
        now_ms = self._clock.now_ms()
        usage = self._usage.get(client.name)
        if usage is None:
            usage = _Usage(_find_bucket_size(client), now_ms)
            self._usage[client.name] = usage
        refilled = client.work_per_s * (now_ms - usage.refilled_at_ms) / 1_000
        usage.level = min(usage.level + refilled, _find_bucket_size(client))
        usage.refilled_at_ms = now_ms
        return usage


def _find_bucket_size(client: ClientAccount) -> float:
    return client.work_per_s * BURST_MS / 1_000
