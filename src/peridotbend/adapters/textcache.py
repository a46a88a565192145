"""Parses a changed fleet text by parsing only the services that changed.

Parsing a text for thousands of targets takes a large part of a second, and the
text changes thousands of times a day. Almost every change affects one service.
"""

import re
import threading
from collections.abc import Callable

from pydantic import ValidationError
from result import Ok, Result

from peridotbend.adapters.textchecks import check_references
from peridotbend.adapters.textschema import (
    Name,
    ServiceShape,
    Shape,
    TextShape,
)
from peridotbend.adapters.yamlnodes import read_nodes
from peridotbend.adapters.yamltext import (
    TextProblem,
    build_text,
    encode_text,
    parse_text,
)
from peridotbend.domain.text import FleetConfig

_SERVICES_LINE = "services:"
# The key of a service: on a line of its own, indented by two spaces.
_SERVICE_KEY_LINE = re.compile(r"  ([A-Za-z0-9][\w.-]*):\s*(?:#.*)?")
_EMPTY_SERVICES = "services: {}\n"

ServiceBlocks = dict[str, str]


class _BlockShape(Shape):
    """A document that holds a single service."""

    services: dict[Name, ServiceShape]


class TextParser:
    """Parses like `parse_text`, but reuses the services of the last text.

    Falls back to parsing the whole text if its layout is unusual or it has any
    problem. What is accepted and how problems are worded thus never depend on
    the texts that were parsed before.
    """

    def __init__(
        self,
        parse_whole: Callable[
            [str], Result[FleetConfig, list[TextProblem]]
        ] = parse_text,
    ):
        self._parse_whole = parse_whole
        self._lock = threading.Lock()
        # Parsed services of the last text, by their source lines.
        self._parsed_services: dict[str, ServiceShape] = {}

    def parse(self, source: str) -> Result[FleetConfig, list[TextProblem]]:
        """Parses and checks the text."""
        with self._lock:
            text = self._parse_by_service(source)
        return self._parse_whole(source) if text is None else Ok(text)

    def _parse_by_service(self, source: str) -> FleetConfig | None:
        split = split_services(source)
        if split is None:
            return None
        rest, blocks = split
        shapes: dict[str, ServiceShape] = {}
        services: dict[str, ServiceShape] = {}
        for name, block in blocks.items():
            shape = self._parsed_services.get(block) or _parse_service(
                name, block
            )
            if shape is None:
                return None
            services[name] = shapes[block] = shape
        # Only the services of the last text are kept, to limit memory use.
        self._parsed_services = shapes
        return _build_from_services(source, rest, services)


def split_services(source: str) -> tuple[str, ServiceBlocks] | None:
    """Splits a text into the part outside `services` and its services.

    Returns:
        The rest of the text and the source lines of each service by name, or
        None if the lines do not show unambiguously where services begin.
    """
    lines = source.splitlines(keepends=True)
    starts = [n for n, s in enumerate(lines) if s.rstrip() == _SERVICES_LINE]
    if len(starts) != 1 or "\t" in source:
        return None
    start = starts[0] + 1
    end = start
    while end < len(lines) and _is_in_services(lines[end]):
        end += 1
    blocks = _split_blocks(lines[start:end])
    if blocks is None:
        return None
    rest = lines[: starts[0]] + lines[end:]
    return "".join(rest), blocks


def _is_in_services(line: str) -> bool:
    return line.startswith(" ") or not line.strip() or line.startswith("#")


def _split_blocks(lines: list[str]) -> ServiceBlocks | None:
    blocks: dict[str, list[str]] = {}
    current: list[str] | None = None
    for line in lines:
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        if line.startswith("   "):
            if current is None:
                return None
            current.append(line)
            continue
        key = _SERVICE_KEY_LINE.fullmatch(line.rstrip())
        if key is None or key[1] in blocks:
            return None
        current = blocks[key[1]] = [line]
    return {name: "".join(part) for name, part in blocks.items()} or None


def _parse_service(name: str, block: str) -> ServiceShape | None:
    read = read_nodes(f"{_SERVICES_LINE}\n{block}")
    if not isinstance(read, Ok):
        return None
    try:
        shape = _BlockShape.model_validate(read.ok_value.data)
    except ValidationError:
        return None
    # A quoted string that spans two blocks is unterminated in each of them, so
    # a block that parses on its own has the same meaning within the text.
    return shape.services[name] if list(shape.services) == [name] else None


def _build_from_services(
    source: str, rest: str, services: dict[str, ServiceShape]
) -> FleetConfig | None:
    encoded = encode_text(source)
    read = read_nodes(f"{rest.rstrip()}\n{_EMPTY_SERVICES}")
    if not isinstance(encoded, Ok) or not isinstance(read, Ok):
        return None
    root = read.ok_value
    if not isinstance(root.data, dict):
        return None
    try:
        shape = TextShape.model_validate({**root.data, "services": services})
    except ValidationError:
        return None
    if check_references(shape, root):
        return None
    return build_text(shape, source, encoded.ok_value)
