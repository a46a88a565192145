"""Parses a changed text by reading only the services that changed.

A text for thousands of targets takes a large part of a second to parse, and
changes thousands of times a day. Almost every change touches one service.
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
# A service's key on a line of its own, two spaces deep.
_SERVICE_LINE = re.compile(r"  ([A-Za-z0-9][\w.-]*):\s*(?:#.*)?")
_PLACEHOLDER = "services: {}\n"

Blocks = dict[str, str]


class _BlockShape(Shape):
    """One service as a document of its own."""

    services: dict[Name, ServiceShape]


class TextParser:
    """Gives the result of `parse_text` for less work.

    Where the layout is unusual or anything is wrong, the whole text is parsed,
    so that what is accepted, and the words of a refusal, never depend on the
    texts that came before.
    """

    def __init__(
        self,
        parse_whole: Callable[
            [str], Result[FleetConfig, list[TextProblem]]
        ] = parse_text,
    ):
        self._parse_whole = parse_whole
        self._lock = threading.Lock()
        # Services of the last text, by the lines that describe them.
        self._shapes: dict[str, ServiceShape] = {}

    def parse(self, source: str) -> Result[FleetConfig, list[TextProblem]]:
        """Parses and checks the text."""
        with self._lock:
            text = self._parse_blocks(source)
        return self._parse_whole(source) if text is None else Ok(text)

    def _parse_blocks(self, source: str) -> FleetConfig | None:
        split = split_services(source)
        if split is None:
            return None
        rest, blocks = split
        shapes: dict[str, ServiceShape] = {}
        services: dict[str, ServiceShape] = {}
        for name, block in blocks.items():
            shape = self._shapes.get(block) or _read_service(name, block)
            if shape is None:
                return None
            services[name] = shapes[block] = shape
        # Only the last text's services stay, which bounds the memory.
        self._shapes = shapes
        return _assemble(source, rest, services)


def split_services(source: str) -> tuple[str, Blocks] | None:
    """Splits a text into the part outside `services` and its services.

    Returns:
        None when the lines do not show beyond doubt where services begin.
    """
    lines = source.splitlines(keepends=True)
    starts = [n for n, s in enumerate(lines) if s.rstrip() == _SERVICES_LINE]
    if len(starts) != 1 or "\t" in source:
        return None
    start = starts[0] + 1
    end = start
    while end < len(lines) and _is_inside(lines[end]):
        end += 1
    blocks = _split_blocks(lines[start:end])
    if blocks is None:
        return None
    rest = lines[: starts[0]] + lines[end:]
    return "".join(rest), blocks


def _is_inside(line: str) -> bool:
    return line.startswith(" ") or not line.strip() or line.startswith("#")


def _split_blocks(lines: list[str]) -> Blocks | None:
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
        key = _SERVICE_LINE.fullmatch(line.rstrip())
        if key is None or key[1] in blocks:
            return None
        current = blocks[key[1]] = [line]
    return {name: "".join(part) for name, part in blocks.items()} or None


def _read_service(name: str, block: str) -> ServiceShape | None:
    read = read_nodes(f"{_SERVICES_LINE}\n{block}")
    if not isinstance(read, Ok):
        return None
    try:
        shape = _BlockShape.model_validate(read.ok_value.data)
    except ValidationError:
        return None
    # A quote that spans two blocks does not end in either of them, so a block
    # that is whole by itself is read as it is within the text.
    return shape.services[name] if list(shape.services) == [name] else None


def _assemble(
    source: str, rest: str, services: dict[str, ServiceShape]
) -> FleetConfig | None:
    encoded = encode_text(source)
    read = read_nodes(f"{rest.rstrip()}\n{_PLACEHOLDER}")
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
