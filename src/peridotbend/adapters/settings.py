"""Process settings, from a YAML file and environment variables."""

import dataclasses
import ipaddress
import os
import urllib.parse
from collections.abc import Mapping
from typing import Annotated, Literal

from pydantic import AfterValidator, Field
from result import Err, Ok, Result

from peridotbend.adapters.shapecheck import check_shape, suggest
from peridotbend.adapters.textschema import (
    Duration,
    Name,
    Positive,
    Shape,
    Size,
    custom_error,
)
from peridotbend.adapters.yamlnodes import Node, TextProblem, read_nodes

ENVIRON_PREFIX = "PERIDOTBEND_"
# Variables with the prefix that are not settings: the path of the settings file
# and the default of the command line's --operator-url.
NON_SETTING_VARIABLES = frozenset(
    ("PERIDOTBEND_SETTINGS", "PERIDOTBEND_OPERATOR_URL")
)
MAX_SETTINGS_BYTES = 65_536
# Settings besides the ports that are numbers without a unit.
COUNT_SETTINGS = frozenset(("max_connections", "max_records", "max_waiting"))


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one entry instance.

    With a port of 0 the kernel chooses the port.
    """

    name: str
    zone: str
    # Base URL of the configuration service; empty if there is none.
    platform_url: str
    # Path of the configuration text to start with; if empty, the process waits
    # for one from peers or the platform.
    text_file: str
    caller_host: str
    caller_port: int
    operator_host: str
    operator_port: int
    peer_host: str
    peer_port: int
    # Maximum number of request records, which are kept until their IDs expire.
    max_records: int
    # Maximum total size of the answers that are kept for callers.
    max_answer_bytes: int
    # Maximum number of waiting requests in all queues of the process.
    max_waiting: int
    # Maximum size of the headers of one call.
    max_header_bytes: int
    log_level: str
    # Maximum wait for dispatched requests at shutdown.
    drain_timeout_ms: int
    # Maximum number of connections from callers.
    max_connections: int = 2_048
    # Maximum total size of request bodies in memory, on arrival and while they
    # wait.
    max_body_bytes: int = 32 << 20


def _check_ip(value: str) -> str:
    try:
        if not (value.isascii() and value.isprintable()):
            # A scope may be any text, but no interface has such a name.
            raise ValueError
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise custom_error(
            f"is not an IP address ({value[:60]!r})",
            "write an address of this instance, such as 127.0.0.1",
        ) from None


def _check_url(value: str) -> str:
    remedy = "write the address as http://IP:port without a path"
    try:
        parts = urllib.parse.urlsplit(value)
        is_valid = bool(parts.hostname) and parts.port != 0
        is_printable = value.isascii() and value.isprintable()
        is_valid = is_valid and is_printable and " " not in value
        # As the resolver does; it raises for an empty or a long label.
        (parts.hostname or "").encode("idna")
    except ValueError:
        is_valid = False
    if not is_valid or parts.scheme != "http" or parts.path not in ("", "/"):
        raise custom_error(f"is not a usable URL ({value[:60]!r})", remedy)
    if parts.query or parts.fragment or parts.username is not None:
        raise custom_error("has more than host and port", remedy)
    return value.rstrip("/")


def _check_path(value: str) -> str:
    try:
        is_valid = b"\0" not in os.fsencode(value)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise custom_error(
            f"is not a path ({value[:60]!r})", "write the path of a file"
        )
    return value


Host = Annotated[str, AfterValidator(_check_ip)]
Port = Annotated[int, Field(ge=0, le=65_535)]


class SettingsShape(Shape):
    """Pydantic model of the settings, with the keys of the file."""

    name: Name
    zone: Name
    platform_url: Annotated[str, AfterValidator(_check_url)] | None = None
    text_file: Annotated[str, AfterValidator(_check_path)] | None = None
    caller_host: Host = "127.0.0.1"
    caller_port: Port = 8080
    # On loopback by default, because operators see all request IDs of the
    # process.
    operator_host: Host = "127.0.0.1"
    operator_port: Port = 8081
    peer_host: Host = "127.0.0.1"
    peer_port: Port = 8082
    max_records: Positive = 50_000
    max_answers: Size = 64 << 20
    max_waiting: Positive = 1_024
    max_header: Size = 16 << 10
    max_connections: Positive = 2_048
    max_bodies: Size = 32 << 20
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    drain_timeout: Duration = 600_000


def load_settings(
    path: str | None, environ: Mapping[str, str]
) -> Result[NodeSettings, list[TextProblem]]:
    """Loads the settings of a process.

    Args:
        path: the YAML file, or None if all settings are in the environment.
        environ: environment variables, which override the file:
            `PERIDOTBEND_CALLER_PORT` overrides `caller_port`.

    Returns:
        The settings, or the problems that were found.
    """
    document = _read_file(path)
    if isinstance(document, Err):
        return document
    root = document.ok_value
    problems = _apply_environment(root, environ)
    if problems:
        return Err(problems)
    checked = check_shape(SettingsShape, root)
    if isinstance(checked, Err):
        return Err(
            [_attribute_to_variable(p, environ) for p in checked.err_value]
        )
    shape = checked.ok_value
    if not shape.platform_url and not shape.text_file:
        return Err(
            [
                _make_problem(
                    "platform_url",
                    "is missing and so is text_file",
                    "set one of the two, so that the process can get a text",
                )
            ]
        )
    return Ok(_build_settings(shape))


def _make_problem(key: str, problem: str, remedy: str) -> TextProblem:
    return TextProblem(0, 0, key, problem, remedy)


def _read_file(path: str | None) -> Result[Node, list[TextProblem]]:
    if path is None:
        return Ok(Node(None, {}, {}))
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_SETTINGS_BYTES + 1)
        source = content.decode()
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            [
                _make_problem(
                    "",
                    f"{path} cannot be read: {error}",
                    "pass the path of a readable UTF-8 file",
                )
            ]
        )
    if len(content) > MAX_SETTINGS_BYTES:
        return Err(
            [
                _make_problem(
                    "",
                    f"{path} has more than {MAX_SETTINGS_BYTES} bytes",
                    "pass the process settings, not the text",
                )
            ]
        )
    return read_nodes(source)


def _apply_environment(
    root: Node, environ: Mapping[str, str]
) -> list[TextProblem]:
    """Overrides values of the document with those of the environment.

    Returns:
        A problem for each unknown variable with the prefix.
    """
    if not isinstance(root.data, dict) or root.children is None:
        return []
    problems = []
    field_by_variable = {
        ENVIRON_PREFIX + field.upper(): field
        for field in SettingsShape.model_fields
    }
    for variable, value in sorted(environ.items()):
        if not variable.startswith(ENVIRON_PREFIX):
            continue
        if variable in field_by_variable:
            field = field_by_variable[variable]
            root.data[field] = _parse_variable(field, value)
            root.children[field] = Node(None, value)
        elif variable not in NON_SETTING_VARIABLES:
            problems.append(
                _make_problem(
                    variable,
                    "is an unknown variable",
                    suggest(variable, field_by_variable),
                )
            )
    return problems


def _parse_variable(field: str, value: str) -> object:
    """Converts digits to a number if the setting is numeric."""
    numeric = field.endswith("_port") or field in COUNT_SETTINGS
    digits = value.isascii() and value.isdecimal() and len(value) < 18
    return int(value) if numeric and digits else value


def _attribute_to_variable(
    problem: TextProblem, environ: Mapping[str, str]
) -> TextProblem:
    """Replaces the key of a problem by the variable that set its value."""
    variable = ENVIRON_PREFIX + problem.key.upper()
    if variable not in environ:
        return problem
    return dataclasses.replace(problem, key=variable)


def _build_settings(shape: SettingsShape) -> NodeSettings:
    return NodeSettings(
        name=shape.name,
        zone=shape.zone,
        platform_url=shape.platform_url or "",
        text_file=shape.text_file or "",
        caller_host=shape.caller_host,
        caller_port=shape.caller_port,
        operator_host=shape.operator_host,
        operator_port=shape.operator_port,
        peer_host=shape.peer_host,
        peer_port=shape.peer_port,
        max_records=shape.max_records,
        max_answer_bytes=shape.max_answers,
        max_waiting=shape.max_waiting,
        max_header_bytes=shape.max_header,
        max_connections=shape.max_connections,
        max_body_bytes=shape.max_bodies,
        log_level=shape.log_level,
        drain_timeout_ms=shape.drain_timeout,
    )
