"""Tests of the check of a platform's configuration."""

import copy
import json
import pathlib
import tempfile
import unittest
from typing import Any

from tests.test_cli import invoke

DOCUMENT: dict[str, Any] = {
    "version": 4,
    "routes": [
        {
            "name": "chat",
            "host": "shop.example",
            "path_prefix": "/chat/",
            "route_kind": "streaming",
            "service": "engine",
            "max_attempts": 2,
            "timeout_ms": 12_000,
            "goal_ms": 400,
            "gap_goal_ms": 400,
            "sticky": True,
            "resumable": True,
        }
    ],
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["secret-1"],
            "rate_per_s": 100,
            "burst": 1_000,
        }
    ],
    "services": [{"name": "engine"}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
}


class PlatformCheckTest(unittest.TestCase):
    """`peridotbend check` on a configuration of the platform."""

    def setUp(self) -> None:
        self.document = copy.deepcopy(DOCUMENT)
        self.route = self.document["routes"][0]

    def check(self, *args: str) -> tuple[int, str]:
        """Checks the document; returns exit code and output."""
        stdin = json.dumps(self.document).encode()
        result = invoke("check", "-", *args, stdin=stdin)
        return result.exit_code, result.output

    def check_against(self, old: object, *args: str) -> tuple[int, str]:
        """Checks the document against another one."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "old.json"
            path.write_text(json.dumps(old))
            return self.check("--against", str(path), *args)

    def test_sound_configuration(self) -> None:
        """Guards against findings that operators learn to ignore."""
        assert self.check() == (0, "-: no problems\n")

    def test_all_bad_fields_are_told_at_once(self) -> None:
        """Guards against a check that has to be repeated for each error."""
        del self.route["timeout_ms"]
        self.document["tenants"][0]["burst"] = -1
        self.document["limits"]["max_header_bytes"] = 0
        code, output = self.check()
        assert code == 1
        assert "routes[0].timeout_ms: missing; add the field" in output
        assert "tenants[0].burst" in output
        assert "limits.max_header_bytes" in output

    def test_document_that_does_not_end(self) -> None:
        """Guards against a broken file that is taken for a YAML text."""
        body = json.dumps(self.document).encode()[:-3]
        result = invoke("check", "-", stdin=body)
        assert result.exit_code == 1
        assert "error: document" in result.output

    def test_entries_that_never_match(self) -> None:
        """Guards against routes and accounts that serve nobody."""
        cases = (
            ({"path_prefix": "/chat"}, "routes[0].path_prefix"),
            ({"path_prefix": "/chat?x/"}, "routes[0].path_prefix"),
            ({"host": "shop.example:80"}, "routes[0].host"),
        )
        for change, location in cases:
            with self.subTest(change):
                self.route.update(DOCUMENT["routes"][0] | change)
                code, output = self.check()
                assert code == 1
                assert f"error: {location}" in output

    def test_entries_that_another_one_hides(self) -> None:
        """Guards against the loser of two entries for the same requests."""
        self.document["routes"].append(self.route | {"name": "other"})
        self.document["tenants"].append(
            {"name": "other", "api_keys": ["secret-1"]}
        )
        code, output = self.check()
        assert code == 1
        assert "routes[0]: never matches: routes[1]" in output
        assert "tenants[0].api_keys: a key never matches" in output
        assert "secret" not in output

    def test_limits_that_contradict_each_other(self) -> None:
        """Guards against an objective after the end of the request."""
        self.route["goal_ms"] = 13_000
        code, output = self.check()
        assert code == 1
        assert "error: routes[0].goal_ms" in output

    def test_warnings_have_an_exit_code_of_their_own(self) -> None:
        """Guards against scripts that stop, or go on, at a mere warning."""
        self.document["services"][0]["cold_start_s"] = 5
        self.document["limits"]["idle_timeout_ms"] = 1_000
        self.route["split"] = [
            {"service": "engine", "weight": 1},
            {"service": "spare", "weight": 0},
        ]
        code, output = self.check()
        assert code == 4
        for location in (
            "services[0].cold_start_s",
            "limits.idle_timeout_ms",
            "routes[0].split[1].weight",
        ):
            assert f"warning: {location}" in output

    def test_differences_from_the_version_in_force(self) -> None:
        """Guards against a change that nobody meant."""
        self.document["version"] = 5
        self.route["timeout_ms"] = 9_000
        self.document["tenants"][0]["api_keys"] = ["secret-2"]
        self.document["tenants"].append({"name": "new", "api_keys": ["k"]})
        code, output = self.check_against(DOCUMENT)
        assert code == 0
        assert "routes[chat].timeout_ms: 12000 -> 9000" in output
        assert "tenants[acme].api_keys: 1 added, 1 removed" in output
        assert "tenants[new]: added" in output
        assert "secret" not in output

    def test_version_that_no_instance_takes_over(self) -> None:
        """Guards against a change that is published and has no effect."""
        code, output = self.check_against(DOCUMENT)
        assert code == 1
        assert "set it to 5 or more" in output

    def test_findings_as_json(self) -> None:
        """Guards against scripts that have to parse sentences."""
        self.document["version"] = 5
        self.route["goal_ms"] = 13_000
        code, output = self.check_against(DOCUMENT, "--json")
        report = json.loads(output)
        assert code == 1
        assert report["findings"][0]["location"] == "routes[0].goal_ms"
        assert "routes[chat].goal_ms: 400 -> 13000" in report["differences"]

    def test_unreadable_comparison(self) -> None:
        """Guards against a comparison with nothing that passes."""
        assert self.check_against([])[0] == 2
