"""YAML parser that records the line and column of each value."""

import dataclasses
import re
from collections.abc import Iterator
from typing import Protocol

import yaml
from result import Err, Ok, Result

# The C parser is about ten times as fast; some builds of PyYAML lack it.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# Problems beyond this number, more than a person corrects at once, are only
# counted.
MAX_PROBLEMS = 50
_VALUE_EVENTS = (yaml.ScalarEvent, yaml.CollectionStartEvent)
# The deepest value of a configuration text is at level 7; the rest is a margin.
MAX_DEPTH = 16

_INTEGER = re.compile(r"[-+]?(?:0|[1-9][0-9]{0,17})")
_NULLS = frozenset(("", "~", "null", "Null", "NULL"))


@dataclasses.dataclass(frozen=True, slots=True)
class TextProblem:
    """A problem in a YAML document or in the settings, with its remedy.

    Line and column count from 1; a line of 0 means that the problem has no
    location in a file.
    """

    line: int
    column: int
    # Path of keys as `join_path` formats it; empty for the whole document.
    key: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        location = (
            f"line {self.line}, column {self.column}: " if self.line else ""
        )
        key = f"{self.key}: " if self.key else ""
        return f"{location}{key}{self.problem}; {self.remedy}"


def summarize_omitted(count: int) -> list[TextProblem]:
    """Returns a final entry that counts the omitted problems, if any."""
    if count <= 0:
        return []
    problem = f"has {count} more problems"
    return [TextProblem(0, 0, "", problem, "correct the first ones")]


class Mark(Protocol):
    """A position in the source, counted from 0 as PyYAML does."""

    line: int
    column: int


class Node:
    """A value with its position; for a mapping entry, that of its key."""

    __slots__ = ("children", "data", "mark")

    def __init__(
        self,
        mark: Mark | None,
        data: object,
        children: dict[str | int, "Node"] | None = None,
    ):
        self.mark = mark
        self.data = data
        self.children = children

    @property
    def line(self) -> int:
        """Line from 1; 0 for a value that does not come from a file."""
        return self.mark.line + 1 if self.mark else 0

    @property
    def column(self) -> int:
        """Column from 1; 0 for a value that does not come from a file."""
        return self.mark.column + 1 if self.mark else 0

    def locate(self, path: tuple[str | int, ...]) -> "Node":
        """Returns the node at `path`, or its nearest existing ancestor."""
        node = self
        for key in path:
            if not node.children or key not in node.children:
                break
            node = node.children[key]
        return node


def join_path(path: tuple[str | int, ...]) -> str:
    """Formats a path of keys as `services.chat.targets.a[2].name`."""
    joined = ""
    for key in path:
        if isinstance(key, int):
            joined += f"[{key}]"
        else:
            joined += f".{key[:80]}" if joined else key[:80]
    return joined


def read_nodes(source: str) -> Result[Node, list[TextProblem]]:
    """Parses one YAML document; rejects anchors, aliases and tags."""
    reader = _NodeReader(source)
    try:
        root = reader.read()
    except _RefusedError as refused:
        return Err([refused.problem])
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        return Err(
            [
                TextProblem(
                    mark.line + 1 if mark else 0,
                    mark.column + 1 if mark else 0,
                    "",
                    f"is not valid YAML: {error.problem or error.context}",
                    "correct the indentation, quotes or brackets at this place",
                )
            ]
        )
    except yaml.YAMLError as error:
        reason = str(error).splitlines()[0]
        return Err(
            [
                TextProblem(
                    0,
                    0,
                    "",
                    f"is not valid YAML: {reason}",
                    "save the file as UTF-8 text without control characters",
                )
            ]
        )
    if not reader.problems:
        return Ok(root)
    omitted = summarize_omitted(len(reader.problems) - MAX_PROBLEMS)
    return Err(reader.problems[:MAX_PROBLEMS] + omitted)


class _RefusedError(Exception):
    """The document uses a YAML feature that is not accepted."""

    def __init__(self, problem: TextProblem):
        super().__init__(str(problem))
        self.problem = problem


class _NodeReader:
    """Builds nodes from parser events.

    Since aliases are rejected, a small document can't expand to a large one.
    """

    def __init__(self, source: str):
        self._source = source
        self._path: list[str | int] = []
        self.problems: list[TextProblem] = []

    def read(self) -> Node:
        events = iter(yaml.parse(self._source, Loader=_LOADER))
        next(events)
        event = next(events)
        if isinstance(event, yaml.StreamEndEvent):
            return Node(event.start_mark, None)
        root = self._read_value(next(events), events)
        next(events)
        event = next(events)
        if not isinstance(event, yaml.StreamEndEvent):
            raise self._make_refusal(
                event, "starts a second document", "keep one document in a file"
            )
        return root

    def _read_value(
        self, event: yaml.Event, events: Iterator[yaml.Event]
    ) -> Node:
        self._check_features(event)
        node = Node(event.start_mark, None)
        if isinstance(event, yaml.ScalarEvent):
            node.data = _resolve_scalar(event)
        elif isinstance(event, yaml.MappingStartEvent):
            self._read_mapping(node, events)
        else:
            self._read_sequence(node, events)
        return node

    def _check_features(self, event: yaml.Event) -> None:
        if not isinstance(event, _VALUE_EVENTS):
            raise self._make_refusal(
                event, "uses a YAML alias", "write the value out in full"
            )
        if event.anchor is not None:
            raise self._make_refusal(
                event, "sets a YAML anchor", "remove the &anchor"
            )
        if event.tag is not None:
            raise self._make_refusal(event, "has a YAML tag", "remove the !tag")
        if len(self._path) > MAX_DEPTH:
            raise self._make_refusal(
                event,
                f"is nested more than {MAX_DEPTH} levels deep",
                "follow the layout in docs/operators.md",
            )

    def _read_mapping(self, node: Node, events: Iterator[yaml.Event]) -> None:
        data: dict[str, object] = {}
        children: dict[str | int, Node] = {}
        for event in events:
            if isinstance(event, yaml.MappingEndEvent):
                break
            self._check_features(event)
            if not isinstance(event, yaml.ScalarEvent):
                raise self._make_refusal(
                    event, "has a list or mapping as a key", "use a plain key"
                )
            key = event.value
            self._path.append(key)
            child = self._read_value(next(events), events)
            child.mark = event.start_mark
            if key in data:
                self._report_duplicate(child, children[key].line)
            else:
                data[key] = child.data
                children[key] = child
            self._path.pop()
        node.data, node.children = data, children

    def _read_sequence(self, node: Node, events: Iterator[yaml.Event]) -> None:
        data: list[object] = []
        children: dict[str | int, Node] = {}
        for event in events:
            if isinstance(event, yaml.SequenceEndEvent):
                break
            self._path.append(len(data))
            child = self._read_value(event, events)
            children[len(data)] = child
            data.append(child.data)
            self._path.pop()
        node.data, node.children = data, children

    def _report_duplicate(self, child: Node, first_line: int) -> None:
        self.problems.append(
            TextProblem(
                child.line,
                child.column,
                join_path(tuple(self._path)),
                f"is a duplicate key; line {first_line} has it already",
                "remove or rename one of the two",
            )
        )

    def _make_refusal(
        self, event: yaml.Event, problem: str, remedy: str
    ) -> _RefusedError:
        location = Node(event.start_mark, None)
        key = join_path(tuple(self._path))
        return _RefusedError(
            TextProblem(location.line, location.column, key, problem, remedy)
        )


def _resolve_scalar(event: yaml.ScalarEvent) -> str | int | bool | None:
    """Resolves plain scalars; only `true` and `false` are booleans.

    YAML 1.1 also resolves `no` and `on` to booleans and `1:30` to a number,
    which would break a zone called `no`.
    """
    value: str = event.value
    if event.style not in (None, ""):
        return value
    if value in _NULLS:
        return None
    if value in ("true", "false"):
        return value == "true"
    return int(value) if _INTEGER.fullmatch(value) else value
