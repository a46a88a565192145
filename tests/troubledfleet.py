"""Real daemons beside a target that sends what no run gives."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)
from typing import Protocol

import anyio
import httpcore

from peridotbend.adapters.serving import HttpServer, listen
from peridotbend_emulator.launch import Child
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    NO_HEADERS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
)
from tests.edgestandins import FakeStore
from tests.test_edge_paths import refuse_connections
from tests.test_edge_platform import SETTINGS_DOCUMENT, TARGET_ENTRY
from tests.troubledtargets import (
    WHOLE,
    Place,
    TroubledAnswer,
    TroubledTarget,
)

# More than the calls that are made at a time.
SLOTS = 200
CONCURRENT_CALLS = 8
RESUMABLE_PATH = "/trouble/"
SINGLE_RUN_PATH = "/once/"
# Routes with a time limit at which a silent target is given up soon.
SLOW_PATH = "/slow/"
SLOW_ONCE_PATH = "/slow-once/"
IDEMPOTENT_PATH = "/lookup/"
NON_IDEMPOTENT_PATH = "/change/"
ROUTE = {**CONFIG["routes"][0], "service": "trouble", "max_attempts": 3}
TROUBLE_CONFIG = {
    **CONFIG,
    "routes": [
        *CONFIG["routes"],
        {
            **ROUTE,
            "name": "r-8",
            "path_prefix": RESUMABLE_PATH,
            "resumable": True,
        },
        {
            **ROUTE,
            "name": "r-9",
            "path_prefix": SINGLE_RUN_PATH,
            "resumable": False,
        },
        {
            **ROUTE,
            "name": "r-10",
            "path_prefix": SLOW_PATH,
            "resumable": True,
            "timeout_ms": 4_000,
        },
        {
            **ROUTE,
            "name": "r-11",
            "path_prefix": SLOW_ONCE_PATH,
            "resumable": False,
            "timeout_ms": 1_000,
        },
        {
            **ROUTE,
            "name": "r-12",
            "path_prefix": IDEMPOTENT_PATH,
            "route_kind": "idempotent",
            "resumable": False,
        },
        {
            **ROUTE,
            "name": "r-13",
            "path_prefix": NON_IDEMPOTENT_PATH,
            "route_kind": "non_idempotent",
            "resumable": False,
        },
    ],
    "services": [*CONFIG["services"], {"name": "trouble"}],
}
# Many attempts are sent again within seconds.
BOUNDS = {**SETTINGS_DOCUMENT["bounds"], "retry_slack": 100_000}


class RawTarget(Protocol):
    """A target that serves connections itself."""

    # The number of sends of each attempt.
    sends: Counter[str]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        ...


class TroubledFleet:
    """A fleet with a service whose target answers as one in trouble."""

    def __init__(
        self,
        fleet: EdgeFleet,
        answers: Sequence[TroubledAnswer],
        target: RawTarget | None = None,
    ) -> None:
        self.fleet = fleet
        self.answers = answers
        self.target = target or TroubledTarget(answers)

    @contextlib.asynccontextmanager
    async def serve_target(self) -> AsyncIterator[int]:
        """Runs the target and yields its port."""
        server = await asyncio.start_server(self.target.serve, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()

    async def call(
        self, path: str, headers: Mapping[str, str] = NO_HEADERS
    ) -> httpcore.Response | None:
        """Calls an instance; returns None if the answer breaks off."""
        try:
            return await self.fleet.call(HOSTS[0], path, path, headers=headers)
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            return None

    async def list_problems(
        self,
        prefix: str,
        *places: Place,
        headers: Mapping[str, str] = NO_HEADERS,
        expected: bytes = WHOLE,
    ) -> list[str]:
        """Returns what callers got that is neither whole nor a refusal.

        Each answer is given once at each place.

        Args:
            prefix: of the route.
            *places: of the foreign answers.
            headers: more of them, of all callers.
            expected: the events that callers get on a route that goes on.
        """
        problems: list[str] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def check(number: int, place: Place) -> None:
            path = f"{prefix}{number}/{place.value}/x"
            async with limiter:
                answer = await self._call_until_sent(path, headers)
            problem = self._find_problem(answer, path, prefix, expected)
            if problem:
                name = self.answers[number].name
                problems.append(f"{place.value}, {name}: {problem}")

        async with anyio.create_task_group() as tasks:
            for number in range(len(self.answers)):
                for place in places:
                    tasks.start_soon(check, number, place)
        return problems

    async def _call_until_sent(
        self, path: str, headers: Mapping[str, str]
    ) -> httpcore.Response | None:
        """Calls until a target gets the request, or the answer is no refusal.

        A peer that is slow to connect is passed over for a second.
        """
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                answer = await self.call(path, headers)
                is_refused = answer is not None and answer.status == 503
                if not is_refused or self.target.sends[path]:
                    return answer
                await anyio.sleep(0.1)

    def _find_problem(
        self,
        answer: httpcore.Response | None,
        path: str,
        prefix: str,
        expected: bytes,
    ) -> str:
        if answer is None:
            return "broken off"
        if prefix in (RESUMABLE_PATH, SLOW_PATH):
            # The caller keeps the head of the run that began its stream.
            is_success = answer.status in (200, 201)
            if not is_success or answer.content != expected:
                return f"{answer.status} {answer.content[-80:]!r}"
            return ""
        # A target in trouble may also be silent up to the time limit.
        failures = (502, 504) if prefix == SLOW_ONCE_PATH else (502,)
        if answer.status not in failures or answer.content:
            return f"{answer.status} {answer.content[-80:]!r}"
        if self.target.sends[path] != 1:
            return f"{self.target.sends[path]} sends"
        return ""


def put_service(store: FakeStore, port: int) -> None:
    """Lists targets of the service in trouble, all at one port."""
    store.put("op/config", TROUBLE_CONFIG)
    for name in ("i-7", "i-8", "i-9"):
        entry = {
            **TARGET_ENTRY,
            "service": "trouble",
            "slots": SLOTS,
            "address": f"127.0.0.1:{port}",
        }
        store.put(f"servers/{name}", entry)


def run_with_child(
    answers: Sequence[TroubledAnswer],
    check: Callable[[TroubledFleet, Child], Awaitable[None]],
) -> None:
    """Runs a check with an instance that reaches the target directly."""

    async def start(fleet: EdgeFleet) -> None:
        troubled = TroubledFleet(fleet, answers)
        async with troubled.serve_target() as port:
            put_service(fleet.store, port)
            child = fleet.spawn(HOSTS[0], bounds=BOUNDS)
            await fleet.wait_ready(HOSTS[0])
            await check(troubled, child)

    run_with_fleet(start)


def run_with_trouble(
    answers: Sequence[TroubledAnswer],
    check: Callable[[TroubledFleet], Awaitable[None]],
) -> None:
    """Runs a check that needs nothing of the process itself."""
    run_with_child(answers, lambda troubled, _: check(troubled))


def run_with_peer(
    answers: Sequence[TroubledAnswer],
    check: Callable[[TroubledFleet], Awaitable[None]],
    target: RawTarget | None = None,
) -> None:
    """Runs a check with an instance that reaches targets through a peer only.

    Its store names a port that refuses connections for all of them.
    """

    async def start(fleet: EdgeFleet) -> None:
        troubled = TroubledFleet(fleet, answers, target)
        cut_store = FakeStore()
        cut_store.revision = fleet.store.revision
        listener = listen("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with troubled.serve_target() as port:
            with refuse_connections() as unused_port:
                put_service(fleet.store, port)
                put_service(cut_store, unused_port)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(HttpServer(cut_store, listener).run)
                    cut_child = fleet.spawn(
                        HOSTS[0], platform={"address": address}, bounds=BOUNDS
                    )
                    # The two stores list the same revisions, and an instance
                    # keeps the entries that it has heard of first.
                    await fleet.wait_ready(HOSTS[0])
                    cut_child.pause()
                    fleet.spawn(HOSTS[1])
                    await fleet.wait_ready(HOSTS[1])
                    cut_child.resume()
                    with anyio.fail_after(WAIT_TIMEOUT_S):
                        while '"peer-live"' not in cut_child.output:
                            await anyio.sleep(0.02)
                        # Its links count as lost after calls that fail.
                        path = f"{SINGLE_RUN_PATH}0/none/links"
                        while '"target-links-lost"' not in cut_child.output:
                            await troubled.call(path)
                            await anyio.sleep(0.02)
                    await check(troubled)
                    tasks.cancel_scope.cancel()

    run_with_fleet(start)
