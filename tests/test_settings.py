"""Tests of the process settings."""

import pathlib
import tempfile
import unittest

from result import Err, Ok

from peridotbend.adapters.settings import NodeSettings, load_settings
from peridotbend.adapters.yamlnodes import TextProblem

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "node.yaml"
REQUIRED = {
    "PERIDOTBEND_NAME": "e1",
    "PERIDOTBEND_ZONE": "a",
    "PERIDOTBEND_TEXT_FILE": "text.yaml",
}


def load_valid(path: str | None, environ: dict[str, str]) -> NodeSettings:
    """Loads settings that must be accepted."""
    loaded = load_settings(path, environ)
    assert isinstance(loaded, Ok), [str(p) for p in loaded.err_value]
    return loaded.ok_value


def load_invalid(
    path: str | None, environ: dict[str, str]
) -> list[TextProblem]:
    """Loads settings that must be refused."""
    loaded = load_settings(path, environ)
    assert isinstance(loaded, Err), loaded
    return loaded.err_value


class LoadSettingsTest(unittest.TestCase):
    """Settings from a file and from environment variables."""

    def test_example_spells_out_the_defaults(self) -> None:
        """Guards against an example that no longer loads or is out of date."""
        minimum = REQUIRED | {
            "PERIDOTBEND_NAME": "entry-1",
            "PERIDOTBEND_ZONE": "hcm-1",
            "PERIDOTBEND_TEXT_FILE": "",
            "PERIDOTBEND_PLATFORM_URL": "http://127.0.0.1:7000/",
        }
        found = load_valid(str(EXAMPLE), {"HOME": "/"})
        assert found == load_valid(None, minimum)
        assert found.operator_host == "127.0.0.1"
        assert found.max_answer_bytes == 64 << 20
        assert found.drain_timeout_ms == 600_000

    def test_variables_override_the_file(self) -> None:
        """Guards against overrides that are ignored or left as strings."""
        found = load_valid(
            str(EXAMPLE),
            {
                "PERIDOTBEND_CALLER_PORT": "0",
                "PERIDOTBEND_NAME": "7",
                "PERIDOTBEND_MAX_HEADER": "8KiB",
                "PERIDOTBEND_OPERATOR_URL": "http://127.0.0.1:1",
            },
        )
        assert (found.caller_port, found.name) == (0, "7")
        assert found.max_header_bytes == 8_192

    def test_faults_name_the_variable_and_the_remedy(self) -> None:
        """Guards against faults that are accepted or reported elsewhere."""
        for variable, value, problem, remedy in (
            ("CALLER_PORT", "http", "whole number", "digits"),
            ("CALLER_PORT", "70000", "too large", "smaller"),
            ("CALLER_HOST", "localhost", "IP address", "127.0.0.1"),
            ("CALER_PORT", "1", "unknown variable", "PERIDOTBEND_CALLER_PORT"),
            ("PLATFORM_URL", "https://a", "URL", "http://"),
            ("PLATFORM_URL", "http://[", "URL", "http://"),
            ("PLATFORM_URL", "http://u@a?b", "more than", "http://"),
            ("DRAIN_TIMEOUT", "30", "without a unit", "20s"),
            ("MAX_ANSWERS", "64MB", "unknown unit", "MiB"),
            ("LOG_LEVEL", "loud", "'loud'", "'info'"),
            ("MAX_RECORDS", "0", "too small", "above zero"),
        ):
            name = f"PERIDOTBEND_{variable}"
            found = load_invalid(None, REQUIRED | {name: value})
            assert [p.key for p in found] == [name], found
            assert problem in found[0].problem, found
            assert remedy in found[0].remedy, found

    def test_values_that_no_call_takes_are_refused(self) -> None:
        """Guards against a process that ends later, with a traceback."""
        long_label = "\u00e9" * 64
        for field, value in (
            ("caller_host", "::1%\0"),
            ("peer_host", f"::1%{long_label}"),
            ("platform_url", "http://a..b:1"),
            ("platform_url", f"http://{'x' * 64}:1"),
            ("platform_url", f"http://{long_label}:1"),
            ("platform_url", "http://\udcff:1"),
            ("platform_url", "http://a b:1"),
            ("text_file", "a\0b"),
            ("text_file", "\ud800"),
        ):
            variable = f"PERIDOTBEND_{field.upper()}"
            problems = load_invalid(None, {**REQUIRED, variable: value})
            assert [p.key for p in problems] == [variable], value

    def test_missing_settings_are_all_reported(self) -> None:
        """Guards against a start without a name or a configuration source."""
        assert {p.key for p in load_invalid(None, {})} == {"name", "zone"}
        without = {k: v for k, v in REQUIRED.items() if "TEXT" not in k}
        assert "text_file" in load_invalid(None, without)[0].problem

    def test_unreadable_files_are_reported(self) -> None:
        """Guards against exceptions at startup for an unreadable file."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "node.yaml")
            assert "read" in load_invalid(str(path), REQUIRED)[0].problem
            for content in (b"\xff", b"- a", b"a: [", b"", b"#" * 70_000):
                path.write_bytes(content)
                assert load_invalid(str(path), REQUIRED)[0].problem, content
            path.write_text("name: e\nzone: a\nzones: b\n")
            assert load_invalid(str(path), {})[0].line == 3
