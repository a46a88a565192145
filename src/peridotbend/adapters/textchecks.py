"""Checks across several entries of the configuration text."""

import graphlib
from collections.abc import Collection, Iterator

from peridotbend.adapters.shapecheck import suggest
from peridotbend.adapters.textschema import (
    DEFAULT_KEEP_ANSWER_MS,
    KindShape,
    TextShape,
)
from peridotbend.adapters.yamlnodes import (
    MAX_PROBLEMS,
    Node,
    TextProblem,
    join_path,
    summarize_omitted,
)

Path = tuple[str | int, ...]


def find_keep_answer_ms(kind: KindShape) -> int:
    """Returns how long request IDs of a kind stay valid.

    The default is never shorter than the deadline: if the ID expired first, a
    request that could still finish in time would be refused.
    """
    if kind.keep_answer is not None:
        return kind.keep_answer
    if kind.deadline <= DEFAULT_KEEP_ANSWER_MS:
        return DEFAULT_KEEP_ANSWER_MS
    return kind.deadline + DEFAULT_KEEP_ANSWER_MS


def check_references(shape: TextShape, root: Node) -> list[TextProblem]:
    """Returns the problems that involve several entries."""
    checker = _Checker(shape, root)
    checker.run()
    found = sorted(checker.problems, key=lambda p: (p.line, p.column))
    return found + summarize_omitted(checker.problem_count - len(found))


class _Checker:
    """Collects the problems of one configuration text.

    All are counted, but only the first MAX_PROBLEMS are described.
    """

    def __init__(self, shape: TextShape, root: Node):
        self._shape = shape
        self._root = root
        self.problems: list[TextProblem] = []
        self.problem_count = 0

    def run(self) -> None:
        self._check_tiers()
        self._check_clients()
        self._check_dependencies()
        self._check_kinds()
        self._check_targets()

    def _report(self, path: Path, problem: str, remedy: str) -> None:
        self.problem_count += 1
        if len(self.problems) < MAX_PROBLEMS:
            node = self._root.locate(path)
            self.problems.append(
                TextProblem(
                    node.line, node.column, join_path(path), problem, remedy
                )
            )

    def _report_unknown(
        self, path: Path, noun: str, word: str, known: Collection[str]
    ) -> None:
        is_full = len(self.problems) >= MAX_PROBLEMS
        remedy = "" if is_full else suggest(word, known)
        self._report(path, f"names the unknown {noun} {word[:80]!r}", remedy)

    def _check_unique(
        self, seen: dict[object, Path], value: object, path: Path, noun: str
    ) -> None:
        """Reports a value that an earlier entry already has."""
        first = seen.setdefault(value, path)
        if first != path:
            line = self._root.locate(first).line
            self._report(
                path,
                f"has the same {noun} as {join_path(first)} (line {line})",
                f"give each its own {noun}",
            )

    def _check_tiers(self) -> None:
        seen: dict[object, Path] = {}
        for index, tier in enumerate(self._shape.tiers):
            self._check_unique(seen, tier, ("tiers", index), "name")

    def _check_clients(self) -> None:
        seen: dict[object, Path] = {}
        for name, client in self._shape.clients.items():
            path = ("clients", name)
            key = client.bearer_sha256
            if name == "anonymous":
                if key is not None:
                    self._report(
                        (*path, "bearer_sha256"),
                        "is set for the account of callers without a key",
                        "remove it",
                    )
            elif key is None:
                self._report(
                    path,
                    "has no bearer_sha256",
                    "add the SHA-256 of the account's bearer key",
                )
            else:
                self._check_unique(
                    seen, key.lower(), (*path, "bearer_sha256"), "bearer key"
                )

    def _check_dependencies(self) -> None:
        services = self._shape.services
        graph: dict[str, list[str]] = {}
        for name, service in services.items():
            graph[name] = []
            for index, dependency in enumerate(service.depends_on):
                if dependency in services:
                    graph[name].append(dependency)
                    continue
                path = ("services", name, "depends_on", index)
                self._report_unknown(path, "service", dependency, services)
        try:
            graphlib.TopologicalSorter(graph).prepare()
        except graphlib.CycleError as error:
            # graphlib lists each service before the one that depends on it.
            cycle: list[str] = list(reversed(error.args[1]))
            shown = cycle if len(cycle) <= 12 else [*cycle[:11], "..."]
            self._report(
                ("services", cycle[0], "depends_on"),
                f"is part of a cycle: {' -> '.join(shown)}",
                "remove one of these dependencies",
            )

    def _iterate_kinds(self) -> Iterator[tuple[Path, KindShape]]:
        for service_name, service in self._shape.services.items():
            for name, kind in service.kinds.items():
                yield ("services", service_name, "kinds", name), kind

    def _check_kinds(self) -> None:
        seen: dict[object, Path] = {}
        for path, kind in self._iterate_kinds():
            if kind.tier not in self._shape.tiers:
                self._report_unknown(
                    (*path, "tier"), "tier", kind.tier, self._shape.tiers
                )
            if find_keep_answer_ms(kind) < kind.deadline:
                self._report(
                    (*path, "keep_answer"),
                    "is shorter than the deadline, so the ID would expire "
                    "before the request has to finish",
                    "make it at least as long as the deadline",
                )
            route = kind.route
            self._check_unique(
                seen,
                (route.method, route.path, route.model),
                (*path, "route"),
                "method, path and model",
            )

    def _check_targets(self) -> None:
        names: dict[object, Path] = {}
        addresses: dict[object, Path] = {}
        for service_name, service in self._shape.services.items():
            self._check_window(service_name)
            for zone, targets in service.targets.items():
                base: Path = ("services", service_name, "targets", zone)
                for index, target in enumerate(targets):
                    path = (*base, index)
                    self._check_unique(
                        names, target.name, (*path, "name"), "name"
                    )
                    self._check_unique(
                        addresses,
                        target.address,
                        (*path, "address"),
                        "address",
                    )

    def _check_window(self, service_name: str) -> None:
        window = self._shape.services[service_name].window
        initial, minimum, maximum = window.apply_defaults()
        if not minimum <= initial <= maximum:
            self._report(
                ("services", service_name, "window"),
                f"has min {minimum}, initial {initial} and max {maximum}",
                "keep min <= initial <= max",
            )
