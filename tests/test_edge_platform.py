"""Tests of the adapter to the platform of the users."""

import json
import pathlib
import unittest
from typing import Any

import anyio
import yaml
from result import Err

from peridotbend.adapters.bodyintake import (
    MIN_ARRIVAL_MS,
    BodyIntake,
    IncomingBody,
)
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason, Verdict
from peridotbend.edge.config import RouteKind
from peridotbend.edge.targets import EdgeTarget
from peridotbend.platform import wire
from peridotbend.platform.documents import (
    MAX_COLD_MS,
    MAX_ORDER,
    decode_config,
    decode_prompt_parts,
    decode_target,
    read_config_order,
    read_target_order,
)
from peridotbend.platform.ingress import (
    decode_call,
    map_verdict_to_status,
)
from peridotbend.platform.settings import load_settings, parse_settings

SOURCE_DIR = pathlib.Path(__file__).parent.parent / "src"
SETTINGS_DOCUMENT: dict[str, Any] = {
    "node_name": "edge-a-1",
    "ip": "10.1.0.25",
    "zone": "zone-a",
    "listen": {
        "frontend": "10.1.0.25:8221",
        "ready": "10.1.0.25:8224",
        "control_plane": "10.1.0.25:8229",
    },
    "internal_ports": [7600, 7615],
    "seeds": ["10.1.0.25:8229", "10.2.0.17:8229"],
    "limits": {"max_fds": 4100},
    "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2},
    "platform": {"address": "10.200.1.7:8225"},
    "a_new_field": {"anything": None},
}
ROUTE_DOCUMENT: dict[str, Any] = {
    "name": "r-1",
    "host": "shop.example",
    "path_prefix": "/quotes/",
    "route_kind": "streaming",
    "timeout_ms": 15000,
    "goal_ms": 800,
    "priority": 0,
    "split": [
        {"service": "engine", "weight": 90},
        {"service": "other", "weight": 10},
    ],
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_goal_ms": 400,
}
CONFIG_DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        ROUTE_DOCUMENT,
        {
            "name": "r-2",
            "host": "shop.example",
            "path_prefix": "/quotes/fast/",
            "route_kind": "idempotent",
            "timeout_ms": 800,
            "service": "shop",
        },
    ],
    "services": [
        {"name": "engine", "max_conns": 370, "engine": {"slots": 11}},
        {"name": "shop", "max_conns": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["key-1", "key-2"],
            "priority": 1,
            "uncached_tokens": 200,
            "rate_per_s": 93693,
            "burst": 93693,
        }
    ],
}
TARGET_ENTRY: dict[str, Any] = {
    "service": "engine",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 11,
    "state": "ready",
    "born": 1_782_800_000_000,
}


def encode_document(document: object) -> bytes:
    """Returns a document in the encoding of the store."""
    return json.dumps(document).encode()


def _decode_cold(value: object) -> EdgeTarget:
    entry = {**TARGET_ENTRY, "cold_left_ms": value}
    return decode_target("i-1", encode_document(entry)).unwrap()


class SettingsFileTest(unittest.TestCase):
    """Parsing of the settings file."""

    def test_fields_are_read_and_new_ones_ignored(self) -> None:
        """Guards against a failed start after the platform adds a field."""
        settings = parse_settings(yaml.safe_dump(SETTINGS_DOCUMENT)).unwrap()
        assert settings.callers == ("10.1.0.25", 8_221)
        assert settings.seeds[1] == ("10.2.0.17", 8_229)
        assert settings.grace_ms == 8_000
        assert settings.resend_share == 0.2
        assert settings.cold_overage is None

    def test_bounds_of_cold_targets_are_read(self) -> None:
        """Guards against a bound that the settings name in vain."""
        bounds = {"grace_s": 8, "cold_overage": 1.5, "cold_slack": 5}
        document = {**SETTINGS_DOCUMENT, "bounds": bounds}
        settings = parse_settings(yaml.safe_dump(document)).unwrap()
        assert (settings.cold_overage, settings.cold_slack) == (1.5, 5.0)

    def test_problem_names_the_field(self) -> None:
        """Guards against an error that does not name the wrong field."""
        for field, value, expected in (
            ("ip", None, "ip: missing"),
            ("internal_ports", [7600], "internal_ports"),
            ("listen", {"frontend": "nowhere"}, "frontend"),
            ("bounds", {"grace_s": "long"}, "bounds.grace_s"),
            ("bounds", {"cold_overage": "much"}, "bounds.cold_overage"),
            ("bounds", {"cold_slack": -1}, "bounds.cold_slack"),
        ):
            document = {**SETTINGS_DOCUMENT, field: value}
            problem = parse_settings(yaml.safe_dump(document)).unwrap_err()
            assert expected in problem, problem

    def test_unreadable_file_is_a_problem_and_no_crash(self) -> None:
        """Guards against a traceback in place of an error message."""
        assert "cannot read" in load_settings("/nowhere/x").unwrap_err()


class ConfigDocumentTest(unittest.TestCase):
    """Decoding of the configuration in the store."""

    def test_rate_of_cold_targets_is_read(self) -> None:
        """Guards against a bound that the configuration names in vain."""
        services = [
            {"name": "engine", "cold_per_s": 12.5, "cold_start_s": 2.5},
            {"name": "shop", "cold_per_s": 0},
            {"name": "other"},
        ]
        body = encode_document({**CONFIG_DOCUMENT, "services": services})
        config = decode_config(body).unwrap()
        assert [s.cold_per_s for s in config.services] == [12.5, 0.0, None]
        assert [s.cold_start_ms for s in config.services] == [2_500, 0, 0]

    def test_longest_prefix_decides(self) -> None:
        """Guards against requests routed by a shorter prefix."""
        config = decode_config(encode_document(CONFIG_DOCUMENT)).unwrap()
        route = config.find_route("SHOP.example", "/quotes/fast/2f")
        assert route is not None
        assert route.name == "r-2"
        assert route.kind is RouteKind.IDEMPOTENT
        route = config.find_route("shop.example", "/quotes/faster")
        assert route is not None
        assert route.name == "r-1"
        assert [share.weight for share in route.services] == [90, 10]
        assert config.find_route("shop.example", "/quotes") is None
        assert config.find_route("other.example", "/quotes/1") is None

    def test_keys_name_accounts(self) -> None:
        """Guards against requests attributed to another account."""
        config = decode_config(encode_document(CONFIG_DOCUMENT)).unwrap()
        account = config.find_account("key-2")
        assert account is not None
        assert account.name == "acme"
        assert account.tokens_per_s == 93_693
        assert config.find_account("") is None

    def test_damaged_configuration_is_refused_with_the_field(self) -> None:
        """Guards against applying a part of a configuration."""
        for change, expected in (
            ({"version": "7"}, "version"),
            ({"routes": [{**ROUTE_DOCUMENT, "route_kind": "x"}]}, "route_kind"),
            ({"routes": None}, "routes"),
            ({"limits": []}, "limits"),
            (
                {"services": [{"name": "engine", "cold_per_s": "few"}]},
                "services[0].cold_per_s",
            ),
        ):
            result = decode_config(
                encode_document({**CONFIG_DOCUMENT, **change})
            )
            assert isinstance(result, Err)
            assert expected in result.err_value
        assert isinstance(decode_config(b"\xff"), Err)
        assert isinstance(decode_config(b"[" * 100_000), Err)


class TargetEntryTest(unittest.TestCase):
    """Decoding of target entries."""

    def test_entry_names_a_target(self) -> None:
        """Guards against requests sent to a wrong address."""
        target = decode_target("i-1", encode_document(TARGET_ENTRY)).unwrap()
        assert (target.host, target.port) == ("10.128.0.9", 8080)
        assert target.slots == 11
        assert not target.is_leaving

    def test_entries_of_other_writers_name_no_target(self) -> None:
        """Guards against one invalid entry that breaks the list."""
        for change in (
            {"state": "sleeping"},
            {"slots": "many"},
            {"slots": True},
            {"slots": 1.5},
            {"address": 9},
            {"address": "10.0.0.1"},
            {"service": None},
            {"born": 12.5},
            {"version": None},
            {"version": ""},
            {"version": 2},
        ):
            result = decode_target(
                "i-1", encode_document({**TARGET_ENTRY, **change})
            )
            assert isinstance(result, Err), change
        for body in (b"", b"null", b"\x80", b'"text"'):
            assert isinstance(decode_target("i-1", body), Err)

    def test_odd_values_raise_no_other_error(self) -> None:
        """Guards against an entry that ends the task that reads the list."""
        digits_401 = 10**400
        for change in (
            *({name: digits_401} for name in ("slots", "born", "sequence")),
            *({name: 1e300} for name in ("slots", "born")),
            {"slots": 10**30},
            {"born": 10**18},
            {"address": "10.0.0.1:65536"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:" + "9" * 5_000},
            {"address": "10.0.0.1:\u0661"},
            {"address": "\ud800:80"},
            {"address": "some host:80"},
            {"service": "\ud800"},
            {"zone": "\ud800"},
            {"version": "\ud800"},
        ):
            body = encode_document({**TARGET_ENTRY, **change})
            assert isinstance(decode_target("i-1", body), Err), change
            assert read_target_order(body) <= (MAX_ORDER, MAX_ORDER)
        for body in (
            b'{"slots": ' + b"9" * 5_000 + b"}",
            b'{"slots": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ):
            assert isinstance(decode_target("i-1", body), Err)
            assert read_target_order(body) == (0, 0)

    def test_cold_time_is_read(self) -> None:
        """Guards against a cold target that gets its usual load."""
        for value, left_ms in ((0, 0), (2_999, 2_999), (0.5, 1), (None, None)):
            target = _decode_cold(value)
            assert (target.cold_left_ms, target.cold_problem) == (left_ms, "")

    def test_odd_cold_time_tells_nothing(self) -> None:
        """Guards against an odd number that ends the use of a target."""
        for value in (-1, "long", True, [], {}, MAX_COLD_MS + 1, 10**400):
            target = _decode_cold(value)
            assert target.cold_left_ms is None, value
            assert "cold_left_ms" in target.cold_problem, value

    def test_name_that_no_header_can_hold_names_no_target(self) -> None:
        """Guards against an entry that fails each request sent to it."""
        body = encode_document(TARGET_ENTRY)
        for name in (
            "",
            "i 1",
            "i-1\r\nx: y",
            "i-\u00e9",
            "i-\u0416",
            "\\ud800",
        ):
            assert isinstance(decode_target(name, body), Err), name

    def test_odd_number_does_not_damage_a_configuration(self) -> None:
        """Guards against the same fault in the configuration's reader."""
        for change in ({"version": 10**400}, {"routes": 10**400}):
            body = encode_document({**CONFIG_DOCUMENT, **change})
            assert isinstance(decode_config(body), Err)
            assert read_config_order(body)[0] <= MAX_ORDER

    def test_prompt_parts_of_another_form_are_not_told(self) -> None:
        """Guards against a doubt that a malformed answer decides."""
        held = [["", "a1", 800, "m"], ["", "b2", 20, "m"]]
        body = encode_document({"epoch": 1, "next": 3, "held": held})
        assert decode_prompt_parts(body, 0).unwrap() == {"a1": 800, "b2": 20}
        for malformed in (
            b"",
            b"[]",
            b'{"held": {}}',
            b'{"held": [["", 7]]}',
            b'{"held": ["a1"]}',
        ):
            assert isinstance(decode_prompt_parts(malformed, 0), Err), malformed

    def test_parts_of_another_run_are_not_those_of_the_listed_one(self) -> None:
        """Guards against a restarted target that seems to have kept nothing."""
        for born, started_at_ms, is_valid in (
            (None, 7, True),
            (7, 7, True),
            (8, 7, False),
            (8, 0, True),
            ("x", 7, False),
        ):
            page = {"held": [], "born": born}
            if born is None:
                del page["born"]
            body = encode_document(page)
            result = decode_prompt_parts(body, started_at_ms)
            assert isinstance(result, Err) is not is_valid, (born, result)


class CallerHeadersTest(unittest.TestCase):
    """Decoding of requests from callers."""

    def _decode(self, *headers: tuple[str, str]) -> Any:
        scope = {
            "method": "POST",
            "raw_path": b"/quotes/%2F/2f",
            "query_string": b"a=1&b",
            "headers": [
                (name.encode(), value.encode()) for name, value in headers
            ],
        }
        return decode_call(scope, b"body")

    def test_request_is_passed_on_as_it_came(self) -> None:
        """Guards against changing the path, the query or headers."""
        call = self._decode(
            ("host", "shop.example:80"),
            (wire.ATTEMPT_ID, "a1"),
            ("authorization", "Token key-1"),
            (wire.TOKEN_COUNT, "1460,80"),
            (wire.PROMPT_PREFIX, "5c1e:800,e440:250"),
            (wire.DEADLINE_MS, "12000"),
            ("x-model", "m"),
        )
        assert call.path == "/quotes/%2F/2f?a=1&b"
        assert call.host == "shop.example"
        assert call.key == "key-1"
        assert (call.prompt_tokens, call.max_output_tokens) == (1460, 80)
        assert call.session == "e440"
        assert call.shared_parts == ("5c1e",)
        assert call.deadline_ms == 12_000
        assert ("x-model", "m") in call.headers
        assert ("host", "shop.example:80") in call.headers

    def test_system_headers_are_removed(self) -> None:
        """Guards against callers that reserve memory or set their account.

        A runner also rejects requests with a handle that it does not know.
        """
        for name in (*wire.SYSTEM_HEADERS, "authorization"):
            call = self._decode((wire.ATTEMPT_ID, "a1"), (name, "1"))
            assert name not in dict(call.headers), name

    def test_hop_by_hop_headers_are_removed(self) -> None:
        """Guards against request smuggling through a body framed twice."""
        call = self._decode(
            (wire.ATTEMPT_ID, "a1"),
            ("connection", "close, X-Hop"),
            ("x-hop", "1"),
            ("transfer-encoding", "chunked"),
            ("content-length", "4"),
            ("te", "trailers"),
        )
        assert call.headers == ()

    def test_call_without_an_attempt_is_none(self) -> None:
        """Guards against runs that no caller can identify."""
        assert self._decode(("host", "shop.example")) is None

    def test_unreadable_numbers_are_ignored(self) -> None:
        """Guards against a crash on invalid numbers from callers."""
        call = self._decode(
            (wire.ATTEMPT_ID, "a1"),
            (wire.TOKEN_COUNT, "many,1"),
            (wire.DEADLINE_MS, "nan"),
        )
        assert call.prompt_tokens is None
        assert call.deadline_ms is None


class BodyTest(unittest.TestCase):
    """Limits on the memory for request bodies."""

    def test_limits_of_one_body_and_of_all_bodies(self) -> None:
        """Guards against callers that exhaust the memory together."""
        intake = BodyIntake(100, ManualClock())
        first, second = IncomingBody(intake, 80), IncomingBody(intake, 80)
        assert first.take(60) is None
        assert first.take(30) == NotRun(Reason.TOO_LARGE)
        assert second.take(60) == NotRun(Reason.AT_CAPACITY)
        first.release()
        assert second.take(60) is None
        second.release()
        assert intake.budget.used_bytes == 0

    def test_bodies_that_stop_arriving(self) -> None:
        """Guards against callers that hold the memory for all bodies.

        Thirteen of them, with a part of a large body each, had every other
        request refused until they left.
        """
        clock = ManualClock()
        intake = BodyIntake(100, clock)

        async def play() -> None:
            stopped, other = IncomingBody(intake, 90), IncomingBody(intake, 80)
            refusals: list[bytes | NotRun] = []
            begun = anyio.Event()

            async def read_part() -> tuple[bytes, bool]:
                if begun.is_set():
                    await anyio.sleep_forever()
                begun.set()
                return b"x" * 90, True

            async def collect() -> None:
                refusals.append(await stopped.collect(read_part))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(collect)
                await begun.wait()
                await anyio.wait_all_tasks_blocked()
                clock.advance(MIN_ARRIVAL_MS - 1)
                assert other.take(60) == NotRun(Reason.AT_CAPACITY)
                clock.advance(1)
                assert other.take(60) is None
            assert refusals == [NotRun(Reason.AT_CAPACITY)]

        anyio.run(play)
        assert intake.budget.used_bytes == 60

    def test_bodies_do_not_give_way_in_vain(self) -> None:
        """Guards against refusing bodies for one that has no room anyway.

        Bodies that have arrived stay, and may take up most of the memory.
        """
        clock = ManualClock()
        intake = BodyIntake(100, clock)
        arrived, slow = IncomingBody(intake, 80), IncomingBody(intake, 80)
        assert arrived.take(80) is None
        intake.begin(slow)
        assert slow.take(10) is None
        clock.advance(MIN_ARRIVAL_MS)
        other = IncomingBody(intake, 80)
        assert other.take(60) == NotRun(Reason.AT_CAPACITY)
        assert slow.used_bytes == 10
        assert other.take(20) is None
        assert slow.used_bytes == 0


class StatusTest(unittest.TestCase):
    """The HTTP status of a refusal."""

    def test_statuses_that_promise_no_run(self) -> None:
        """Guards against a 503 for a request that may have run."""
        not_run_statuses = {408, 421, 429, 503}
        for reason in Reason:
            status, _ = map_verdict_to_status(MayHaveRun(reason))
            assert status not in not_run_statuses, reason
        for reason in (Reason.SHED, Reason.DEADLINE, Reason.NO_TEXT):
            verdict: Verdict = NotRun(reason)
            status, retry_after_ms = map_verdict_to_status(verdict)
            assert status == 503
            assert retry_after_ms > 0

    def test_allowance_and_unknown_key(self) -> None:
        """Guards against statuses that make callers stop or retry wrongly."""
        assert map_verdict_to_status(NotRun(Reason.CLIENT_LIMIT, 900)) == (
            429,
            900,
        )
        assert map_verdict_to_status(NotRun(Reason.UNKNOWN_KEY))[0] == 401
        assert map_verdict_to_status(NotRun(Reason.UNKNOWN_KIND))[0] == 404


class BoundaryTest(unittest.TestCase):
    """Names of the platform's protocol are used only in its adapter."""

    def test_no_wire_name_is_used_outside_the_adapter(self) -> None:
        """Guards against decisions that depend on the platform's protocol."""
        names = [*wire.HEADERS, *wire.CALLS, *wire.KEYS]
        names += ["route_kind", "path_prefix", "goal_ms", "api_keys"]
        # Not allowed as identifiers either: the product calls them `prefix` and
        # `objective_ms`.
        identifiers = ("path_prefix", "goal_ms")
        for path in sorted(SOURCE_DIR.rglob("*.py")):
            if "platform" in path.parent.name:
                continue
            text = path.read_text(encoding="utf-8").lower()
            for name in names:
                if name == "op/":
                    # Also a prefix of names of the product itself.
                    continue
                assert f'"{name.lower()}' not in text, (path, name)
            for name in identifiers:
                assert name not in text, (path, name)
