"""Tests of the configuration parser."""

import hashlib
import itertools
import pathlib
import unittest

from result import Err, Ok

from peridotbend.adapters import units, yamltext
from peridotbend.domain.text import EngineType, FleetConfig

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

CHAT = "services.chat"
TAG = f"{CHAT}.kinds.tag"
STOCK = "services.stock"
STOCK_TARGET = f"{STOCK}.targets.no[0]"

VALID_CONFIG = """\
version: 3
tiers: [high, low]
clients:
  shop: {bearer_sha256: "DIGEST", weight: 2}
services:
  chat:
    engine: model
    depends_on: [stock]
    window: {max: 4000}
    kinds:
      tag: {tier: low, idempotent: true, deadline: 250ms,
            route: {path: /chat, model: tag}, max_body: 64KiB}
      night: {tier: low, idempotent: true, deadline: 8h,
              route: {path: /chat, model: night}}
    targets:
      a:
        - {name: r1, address: "10.0.0.1:80"}
        - {name: r2, address: "[FD00::1]:80", checks_fencing: true}
  stock:
    engine: application
    kinds:
      take: {tier: high, idempotent: false, deadline: 5s,
             route: {method: PUT, path: /take}, keep_answer: 20min}
    targets:
      no: [{name: s1, address: "10.0.0.2:80"}]
""".replace("DIGEST", "AB" * 32)

# Substring of VALID_CONFIG, its replacement, then the line, key, problem and
# remedy that are reported.
INVALID_EDITS = (
    ("weight: 2", "wieght: 2", 4, "clients.shop.wieght", "unknown", "'weight'"),
    ("version: 3", "version: 0", 1, "version", "too small", "above zero"),
    ("version: 3", "version: '3'", 1, "version", "whole number", "digits"),
    ("version: 3", "version: 3\nversion: 4", 2, "version", "duplicate", "one"),
    ("version: 3\n", "", 1, "version", "missing", "add"),
    ("[high, low]", "[high, high]", 2, "tiers[1]", "same name", "own"),
    ("[high, low]", f"[{'a,' * 17}]", 2, "tiers", "too many", "remove"),
    ("[high, low]", "&t [high]", 2, "tiers", "anchor", "remove"),
    ("[high, low]", "*t", 2, "tiers", "alias", "in full"),
    ("[high, low]", "!!seq [a]", 2, "tiers", "tag", "remove"),
    ("[high, low]", "", 2, "tiers", "no value", "remove"),
    ("shop: {", "'a b': {", 4, "clients.a b", "valid name", "letters"),
    ("shop: {", "anonymous: {", 4, "clients.anonymous.bearer_sha256", "", ""),
    ("ABAB", "ABAX", 4, "clients.shop.bearer_sha256", "SHA-256", "sha256sum"),
    ("engine: model", "engine: mod", 7, f"{CHAT}.engine", "mod", "model"),
    ("[stock]", "[stok]", 8, f"{CHAT}.depends_on[0]", "stok", "'stock'"),
    ("[stock]", "[chat]", 8, f"{CHAT}.depends_on", "cycle", "remove"),
    (
        "engine: application",
        "engine: application\n    depends_on: [chat]",
        8,
        f"{CHAT}.depends_on",
        "chat -> stock -> chat",
        "remove",
    ),
    ("{max: 4000}", "{min: 9, max: 4}", 9, f"{CHAT}.window", "max 4", "<="),
    ("tier: low", "tier: lo", 11, f"{TAG}.tier", "lo", "'low'"),
    ("250ms", "250", 11, f"{TAG}.deadline", "without", "250ms"),
    ("250ms", "-250ms", 11, f"{TAG}.deadline", "neg", "above"),
    ("64KiB", "64KB", 12, f"{TAG}.max_body", "'KB'", "KiB"),
    ("model: night", "model: tag", 14, f"{CHAT}.kinds.night.route",
     f"{TAG}.route (line 12)", "own"),
    ("name: r2", "name: s1", 25, f"{STOCK_TARGET}.name", "same", ""),
    ("10.0.0.2:80", "10.0.0.1:80", 25, f"{STOCK_TARGET}.address",
     f"{CHAT}.targets.a[0].address (line 17)", "own"),
    ("10.0.0.2:80", "db:80", 25, f"{STOCK_TARGET}.address",
     "IP:port", "10.0.1.7:8000"),
    ("10.0.0.2:80", "10.0.0.2:0", 25, f"{STOCK_TARGET}.address",
     "IP:port", "10.0.1.7:8000"),
    ("20min", "2s", 23, f"{STOCK}.kinds.take.keep_answer", "shorter", ""),
    ("path: /take", "path: /v1/reservations", 23,
     f"{STOCK}.kinds.take.route.path", "answer", "outside"),
)  # fmt: skip


def parse_valid(source: str = VALID_CONFIG) -> FleetConfig:
    """Parses a configuration that must be accepted."""
    parsed = yamltext.parse_text(source)
    assert isinstance(parsed, Ok), [str(p) for p in parsed.err_value]
    return parsed.ok_value


def parse_invalid(source: str) -> list[yamltext.TextProblem]:
    """Parses a configuration that must be refused."""
    parsed = yamltext.parse_text(source)
    assert isinstance(parsed, Err), source[:200]
    return parsed.err_value


class AcceptedTextTest(unittest.TestCase):
    """Valid configurations."""

    def test_values_reach_the_domain_in_its_units(self) -> None:
        """Guards against lost values, wrong units and a wrong tier order."""
        text = parse_valid()
        chat, stock = text.services
        tag, night = chat.kinds
        assert (text.version, text.tiers) == (3, ("high", "low"))
        assert (chat.engine, chat.depends_on) == (EngineType.MODEL, ("stock",))
        assert (tag.tier, tag.deadline_ms, tag.max_body_bytes) == (
            1,
            250,
            65536,
        )
        assert (tag.method, tag.path, tag.model) == ("POST", "/chat", "tag")
        assert (stock.kinds[0].method, stock.kinds[0].model) == ("PUT", "")
        assert not stock.kinds[0].idempotent
        assert stock.kinds[0].keep_answer_ms == 1_200_000
        assert (chat.targets[1].host, chat.targets[1].port) == ("fd00::1", 80)
        assert chat.targets[1].checks_fencing
        assert stock.targets[0].zone == "no", "`no` is a name, not a boolean"
        assert text.digest == hashlib.sha256(VALID_CONFIG.encode()).digest()
        assert text.source == VALID_CONFIG
        assert night.keep_answer_ms > night.deadline_ms

    def test_defaults_fit_what_is_set(self) -> None:
        """Guards against defaults outside the configured bounds."""
        chat = parse_valid().services[0]
        window = (chat.min_window, chat.initial_window, chat.max_window)
        assert window == (1_024, 4_000, 4_000)
        assert chat.kinds[0].keep_answer_ms == 600_000

    def test_anonymous_account_is_always_there(self) -> None:
        """Guards against refusing callers without a key."""
        names = {c.name: c.bearer_sha256 for c in parse_valid().clients}
        assert names == {"shop": "ab" * 32, "anonymous": ""}

    def test_examples_have_the_documented_sizes(self) -> None:
        """Guards against examples that differ from the design document."""
        sizes = {"binh-minh": (4, 5, 4, 6), "kilifi": (3, 9, 3, 4)}
        for name, expected in sizes.items():
            text = parse_valid((EXAMPLES / f"{name}.yaml").read_text())
            targets = [t for s in text.services for t in s.targets]
            models = sum(
                len(s.targets)
                for s in text.services
                if s.engine is EngineType.MODEL
            )
            zones = len({t.zone for t in targets})
            kinds = sum(len(s.kinds) for s in text.services)
            found = (zones, models, len(targets) - models, kinds)
            assert found == expected, (name, found)
            assert len(text.clients) == 5, name


class RefusedTextTest(unittest.TestCase):
    """Invalid configurations."""

    def test_each_fault_is_named_with_its_place_and_remedy(self) -> None:
        """Guards against faults that pass or are reported at a wrong place."""
        for old, new, line, key, problem, remedy in INVALID_EDITS:
            assert old in VALID_CONFIG, old
            found = parse_invalid(VALID_CONFIG.replace(old, new, 1))[0]
            assert (found.line, found.key) == (line, key), found
            assert problem in found.problem, found
            assert remedy in found.remedy, found

    def test_damaged_documents_are_refused(self) -> None:
        """Guards against exceptions on input that is no valid YAML mapping."""
        for source in (
            "", "- a", "a: [", "a: \x00", "\ud800", "? [a]\n: b", "%",
            "[" * 5_000, "a: 1\n---\nb: 2", "a: {" * 30 + "}" * 30,
        ):  # fmt: skip
            problem = parse_invalid(source)[0]
            assert problem.problem and problem.remedy, source[:20]

    def test_nesting_is_bounded(self) -> None:
        """Guards against deeply nested documents that exhaust the stack."""
        assert "nested" in parse_invalid("[" * 20 + "]" * 20)[0].problem

    def test_cycle_is_reported_in_dependency_order(self) -> None:
        """Guards against a cycle reported with its dependencies reversed."""
        service = (
            "  {0}: {{engine: model, depends_on: [{1}], targets: {{}}, kinds:"
            " {{k: {{tier: a, idempotent: true, deadline: 1s,"
            " route: {{path: /{0}}}}}}}}}\n"
        )
        pairs = (("x", "y"), ("y", "z"), ("z", "x"))
        source = "version: 1\ntiers: [a]\nservices:\n" + "".join(
            service.format(*pair) for pair in pairs
        )
        problem = parse_invalid(source)[0].problem
        services_in_cycle = problem.partition("cycle: ")[2].split(" -> ")
        assert len(services_in_cycle) == 4, problem
        assert set(itertools.pairwise(services_in_cycle)) == set(pairs), problem

    def test_size_limit_counts_bytes(self) -> None:
        """Guards against accepting a text too large for the platform.

        The limit is in bytes, and a character can take several.
        """
        filled = VALID_CONFIG + "#" + "ì" * (499_999 - len(VALID_CONFIG) // 2)
        assert len(filled.encode()) <= yamltext.MAX_TEXT_BYTES
        parse_valid(filled)
        assert "1000000" in parse_invalid(filled + "####")[0].problem

    def test_all_faults_are_reported_up_to_a_bound(self) -> None:
        """Guards against reporting one fault at a time or an endless list."""
        extra = "".join(f"x{i}: 1\n" for i in range(80))
        problems = parse_invalid(VALID_CONFIG + extra)
        assert len(problems) == yamltext.MAX_PROBLEMS + 1
        assert "30 more" in problems[-1].problem
        unknown = ", ".join(f"s{i}" for i in range(80))
        for source in (
            VALID_CONFIG.replace("[stock]", f"[{unknown}]"),
            extra * 2,
        ):
            problems = parse_invalid(source)
            assert len(problems) == yamltext.MAX_PROBLEMS + 1, source[:40]
            assert "30 more" in problems[-1].problem
            assert all(p.remedy for p in problems)


class UnitsTest(unittest.TestCase):
    """Parsing of durations and sizes."""

    def test_units(self) -> None:
        """Guards against wrong unit factors and unbounded values."""
        times = {
            "250ms": 250,
            "20 s": 20_000,
            "10min": 600_000,
            "8h": 28_800_000,
        }
        for source, expected in times.items():
            assert units.parse_duration_ms(source) == Ok(expected)
        assert units.parse_size_bytes("1MiB") == Ok(1_048_576)
        for bad in ("0s", "1e3s", "999999999h", "1.5s", "٣s", True, None, 5):
            assert units.parse_duration_ms(bad).is_err(), bad
