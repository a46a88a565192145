"""Tests of values in the settings and texts of the product's interface."""

import json
import os
import socket
import tempfile
import unittest
import urllib.parse

import yaml
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from peridotbend.adapters.settings import (
    ENVIRON_PREFIX,
    SettingsShape,
    load_settings,
)
from peridotbend.adapters.yamltext import parse_text
from tests.test_settings import EXAMPLE
from tests.test_values import (
    EXAMPLES,
    VALUES,
    YAML_VALUES,
    check_numbers,
    list_paths,
    replace_value,
)
from tests.test_yamltext import VALID_CONFIG

MARK = "value-to-replace"
SETTINGS = {**yaml.safe_load(EXAMPLE.read_text()), "text_file": "text.yaml"}
TEXT = yaml.safe_load(VALID_CONFIG)
# Bytes that are no UTF-8 are half characters in variables.
VARIABLES = st.one_of(
    st.sampled_from(["\udcff", "1" * 5_000, "::1%é", "http://[", "é", "²"]),
    st.sampled_from(["http://127.0.0.1:99999", "http://\udcff:1", "[]:1"]),
    st.text(st.characters(exclude_characters="\0"), max_size=6),
)
ODD = st.one_of(
    YAML_VALUES,
    VALUES.map(json.dumps),
    st.sampled_from(
        [
            '"\\0"',
            '"a\\0b"',
            '"::1%\\0"',
            "::1%" + "é" * 64,
            "http://::1",
            "http://[::1%\\0]:1",
            "http://" + "é" * 64 + ":1",
            '"http://a\\0b:1"',
            '"http://a b:1"',
            "http://127.0.0.1:0",
            '"10.0.0.1:80\\n"',
            '"[::1%\\0]:80"',
            '"/a\\n"',
            "999999999999h",
            "1 " * 400,
            "{a: {b: {c: {}}}}",
        ]
    ),
)


def check_host(host: str) -> None:
    """Fails if listening at an address raises more than an OSError."""
    try:
        socket.getaddrinfo(host, 1, flags=socket.AI_NUMERICHOST)
    except OSError:
        return


class SettingsValueTest(unittest.TestCase):
    """Values of the settings of an entry instance."""

    def _check(self, text: str, environ: dict[str, str]) -> None:
        with tempfile.NamedTemporaryFile("w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            loaded = load_settings(file.name, environ)
        if isinstance(loaded, Err):
            assert loaded.err_value
            for problem in loaded.err_value:
                str(problem).encode()
            return
        found = loaded.ok_value
        check_numbers(found)
        for host in (found.caller_host, found.operator_host, found.peer_host):
            check_host(host)
        assert b"\0" not in os.fsencode(found.text_file)
        found.name.encode()
        host = urllib.parse.urlsplit(found.platform_url).hostname or ""
        check_host(host)

    @EXAMPLES
    @given(st.data())
    def test_value_of_a_setting_does_not_end_the_process(
        self, data: st.DataObject
    ) -> None:
        """Guards against a traceback in place of what to correct."""
        path = data.draw(st.sampled_from([*list_paths(SETTINGS), ("new",)]))
        text = yaml.safe_dump(replace_value(SETTINGS, path, MARK))
        self._check(text.replace(MARK, data.draw(ODD)), {})

    @EXAMPLES
    @given(st.data())
    def test_variable_does_not_end_the_process(
        self, data: st.DataObject
    ) -> None:
        """Guards against a traceback in place of what to correct."""
        field = data.draw(st.sampled_from([*SettingsShape.model_fields, "new"]))
        variable = ENVIRON_PREFIX + field.upper()
        self._check(yaml.safe_dump(SETTINGS), {variable: data.draw(VARIABLES)})


class OwnTextValueTest(unittest.TestCase):
    """Values of the configuration text."""

    @EXAMPLES
    @given(st.data())
    def test_value_of_a_text_is_refused_or_bounded(
        self, data: st.DataObject
    ) -> None:
        """Guards against a text that ends the processes that read it."""
        path = data.draw(st.sampled_from([*list_paths(TEXT), ("new",)]))
        text = yaml.safe_dump(replace_value(TEXT, path, MARK))
        parsed = parse_text(text.replace(MARK, data.draw(ODD)))
        if isinstance(parsed, Err):
            assert parsed.err_value
            for problem in parsed.err_value:
                str(problem).encode()
            return
        check_numbers(parsed.ok_value)
        for service in parsed.ok_value.services:
            for target in service.targets:
                check_host(target.host)

    @EXAMPLES
    @given(
        st.text(max_size=40)
        | st.text(alphabet="[]{}:,&*!|>'\"%@`#-? \n\ta0\0\ud800", max_size=40)
        | st.sampled_from(["[" * 100_000, "a: " * 5_000, "? " * 5_000])
    )
    def test_text_that_is_no_yaml_is_refused(self, text: str) -> None:
        """Guards against a text that ends the processes that read it."""
        parsed = parse_text(text)
        assert isinstance(parsed, Err)
        assert parsed.err_value
