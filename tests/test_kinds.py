"""Tests of the lookup of request kinds."""

import unittest

from result import Err, Ok

from peridotbend.domain.kinds import KindIndex
from peridotbend.domain.text import EngineType, FleetConfig, Kind, Service
from peridotbend.domain.verdicts import Reason


def _make_kind(name: str, method: str, path: str, model: str) -> Kind:
    return Kind(name, "s", method, path, model, 0, True, 1_000, 100, 100, 1_000)


KINDS = (
    _make_kind("quote", "POST", "/v1/chat/completions", "quote"),
    _make_kind("tag", "POST", "/v1/chat/completions", "tag"),
    _make_kind("status", "GET", "/v1/orders/*", ""),
    _make_kind("order", "POST", "/v1/orders", ""),
)
SERVICE = Service("s", EngineType.MODEL, (), KINDS, (), 1, 1, 1, 1)
INDEX = KindIndex(FleetConfig(1, ("high",), (), (SERVICE,)))


class KindIndexTest(unittest.TestCase):
    """Lookup by method, path and model."""

    def test_model_field_selects_the_kind(self) -> None:
        """Guards against a request for one model matched to another kind."""
        path = "/v1/chat/completions"
        found = INDEX.match("POST", path, b'{"model": "tag"}')
        assert found == Ok(KINDS[1])
        unknown = INDEX.match("POST", path, b'{"model": "x"}')
        assert unknown == Err(Reason.UNKNOWN_KIND)
        for body in (b"{", b"[" * 100_000, b"[]", b"\xff"):
            refused = INDEX.match("POST", path, body[:90])
            assert refused in (
                Err(Reason.BAD_INPUT),
                Err(Reason.UNKNOWN_KIND),
            )

    def test_prefix_paths_ignore_the_query(self) -> None:
        """Guards against a path with a query that matches no kind."""
        assert INDEX.match("GET", "/v1/orders/17?x=1", b"") == Ok(KINDS[2])
        assert INDEX.match("POST", "/v1/orders", b"") == Ok(KINDS[3])

    def test_refusals_name_the_cause(self) -> None:
        """Guards against a wrong method reported as an unknown path."""
        wrong = INDEX.match("PUT", "/v1/orders", b"")
        assert wrong == Err(Reason.WRONG_METHOD)
        assert INDEX.match("GET", "/v2", b"") == Err(Reason.UNKNOWN_KIND)
        large = INDEX.match("POST", "/v1/orders", b"x" * 101)
        assert large == Err(Reason.TOO_LARGE)
