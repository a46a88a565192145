"""Tests of real daemons of two builds side by side, as during an upgrade."""

import pathlib
import subprocess
import tarfile
import tempfile
import unittest
from collections.abc import Awaitable, Callable

import anyio

from peridotbend.platform import wire
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    wait_for_event,
)

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
# The last commit of the landing before digests told of leaving targets.
OLDER_BUILD = "797b61b33f0e"
NOWHERE = {"address": "127.0.0.1:9"}


def _has_older_build() -> bool:
    command = ["git", "cat-file", "-e", f"{OLDER_BUILD}^{{commit}}"]
    return not subprocess.run(command, cwd=REPOSITORY, check=False).returncode


def _extract_older_build(folder: pathlib.Path) -> pathlib.Path:
    """Returns the folder of the packages of the older build."""
    archive = folder / "older.tar"
    command = ["git", "archive", "-o", str(archive), OLDER_BUILD, "src"]
    subprocess.run(command, cwd=REPOSITORY, check=True)
    with tarfile.open(archive) as packed:
        packed.extractall(folder, filter="data")
    return folder / "src"


async def _wait_for_status(
    fleet: EdgeFleet, host: str, path: str, status: int
) -> None:
    number = 0
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            number += 1
            attempt = f"{host}{path}{status}-{number}"
            if (await fleet.call(host, path, attempt)).status == status:
                return
            await anyio.sleep(0.05)


def _publish_moved_route(fleet: EdgeFleet, version: int) -> str:
    """Moves the route of the orders; returns its new path."""
    prefix = f"/moved-{version}/"
    routes = [
        CONFIG["routes"][0],
        {**CONFIG["routes"][1], "path_prefix": prefix},
    ]
    fleet.store.put(
        wire.CONFIG_KEY, {**CONFIG, "version": version, "routes": routes}
    )
    return f"{prefix}1"


@unittest.skipUnless(_has_older_build(), "the history of the project is absent")
class MixedBuildTest(unittest.TestCase):
    """Instances of this build and of the one before it."""

    def _run(
        self, check: Callable[[EdgeFleet, pathlib.Path], Awaitable[None]]
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            older = _extract_older_build(pathlib.Path(folder))

            async def run(fleet: EdgeFleet) -> None:
                await check(fleet, older)

            run_with_fleet(run)

    def test_changes_pass_between_the_builds_both_ways(self) -> None:
        """Guards against a build that cannot read what the other one knows."""
        for is_reader_older in (True, False):
            with self.subTest(is_reader_older=is_reader_older):

                async def check(
                    fleet: EdgeFleet,
                    older: pathlib.Path,
                    is_reader_older: bool = is_reader_older,
                ) -> None:
                    reader = older if is_reader_older else None
                    other = None if is_reader_older else older
                    fleet.spawn(HOSTS[0], reader)
                    await fleet.wait_ready(HOSTS[0])
                    fleet.spawn(HOSTS[1], other, platform=NOWHERE)
                    await fleet.wait_ready(HOSTS[1])
                    path = _publish_moved_route(fleet, 9)
                    for host in HOSTS:
                        await _wait_for_status(fleet, host, path, 200)
                        await _wait_for_status(fleet, host, "/orders/1", 404)

                self._run(check)

    def test_replaced_instances_serve_and_take_changes(self) -> None:
        """Guards against an upgrade that stops a fleet halfway."""

        async def check(fleet: EdgeFleet, older: pathlib.Path) -> None:
            children = {host: fleet.spawn(host, older) for host in HOSTS}
            for host in HOSTS:
                await fleet.wait_ready(host)
            for number, host in enumerate(HOSTS):
                children[host].terminate()
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while children[host].exit_code is None:
                        await anyio.sleep(0.05)
                path = _publish_moved_route(fleet, 9 + number)
                children[host] = fleet.spawn(host)
                await fleet.wait_ready(host)
                for each in HOSTS:
                    await _wait_for_status(fleet, each, path, 200)
            assert all(c.exit_code is None for c in children.values())

        self._run(check)

    def test_news_of_a_leaving_target_do_no_harm_to_the_older_build(
        self,
    ) -> None:
        """Guards against a field that ends a process which does not know it."""

        async def check(fleet: EdgeFleet, older: pathlib.Path) -> None:
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            other = fleet.spawn(HOSTS[1], older)
            await fleet.wait_ready(HOSTS[1])
            await wait_for_event(child, "peer-live")
            fleet.target.more_headers = ((wire.SERVER_LEAVING, "1"),)
            answer = await fleet.call(HOSTS[0], "/orders/1", "a1")
            assert answer.status == 200
            await wait_for_event(child, "target-said-leaving")
            answer = await fleet.call(HOSTS[0], "/orders/1", "a2")
            assert answer.status == 503
            # Digests with the news reach the older build meanwhile.
            await anyio.sleep(1.0)
            answer = await fleet.call(HOSTS[1], "/orders/1", "a3")
            assert answer.status == 200, "it goes by the store alone"
            assert other.exit_code is None

        self._run(check)
