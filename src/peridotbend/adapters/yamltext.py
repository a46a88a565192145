"""Parses and validates the YAML configuration text."""

import hashlib

from result import Err, Ok, Result

from peridotbend.adapters.shapecheck import check_shape
from peridotbend.adapters.textchecks import (
    check_references,
    find_keep_answer_ms,
)
from peridotbend.adapters.textschema import (
    ClientShape,
    KindShape,
    ServiceShape,
    TextShape,
)
from peridotbend.adapters.yamlnodes import MAX_PROBLEMS, TextProblem, read_nodes
from peridotbend.domain.text import (
    ClientAccount,
    EngineType,
    FleetConfig,
    Kind,
    Service,
    Target,
)

__all__ = ["MAX_PROBLEMS", "MAX_TEXT_BYTES", "TextProblem", "parse_text"]

# The platform serves values of up to 1 MB.
MAX_TEXT_BYTES = 1_000_000


def parse_text(source: str) -> Result[FleetConfig, list[TextProblem]]:
    """Parses and validates a configuration text.

    Args:
        source: the YAML document.

    Returns:
        The immutable text, or its problems in the order of their lines.
    """
    encoded = encode_text(source)
    if isinstance(encoded, Err):
        return encoded
    document = read_nodes(source)
    if isinstance(document, Err):
        return document
    checked = check_shape(TextShape, document.ok_value)
    if isinstance(checked, Err):
        return checked
    shape = checked.ok_value
    problems = check_references(shape, document.ok_value)
    if problems:
        return Err(problems)
    return Ok(build_text(shape, source, encoded.ok_value))


def encode_text(source: str) -> Result[bytes, list[TextProblem]]:
    """Encodes a text as UTF-8 and checks its size."""
    try:
        encoded = source.encode()
    except UnicodeEncodeError:
        return Err(
            [
                TextProblem(
                    0, 0, "", "is not Unicode text", "save the file as UTF-8"
                )
            ]
        )
    if len(encoded) > MAX_TEXT_BYTES:
        return Err(
            [
                TextProblem(
                    0,
                    0,
                    "",
                    f"has {len(encoded)} bytes; the limit is {MAX_TEXT_BYTES}",
                    "write targets on one line each and remove comments",
                )
            ]
        )
    return Ok(encoded)


def build_text(shape: TextShape, source: str, encoded: bytes) -> FleetConfig:
    """Converts a validated shape to the domain's representation."""
    clients = dict(shape.clients)
    clients.setdefault("anonymous", ClientShape())
    tiers = tuple(shape.tiers)
    return FleetConfig(
        version=shape.version,
        tiers=tiers,
        clients=tuple(_build_client(n, c) for n, c in clients.items()),
        services=tuple(
            _build_service(n, s, tiers) for n, s in shape.services.items()
        ),
        source=source,
        digest=hashlib.sha256(encoded).digest(),
    )


def _build_client(name: str, shape: ClientShape) -> ClientAccount:
    return ClientAccount(
        name=name,
        bearer_sha256=(shape.bearer_sha256 or "").lower(),
        weight=shape.weight,
        work_per_s=shape.work_per_s,
        max_concurrent=shape.max_concurrent,
    )


def _build_service(
    name: str, shape: ServiceShape, tiers: tuple[str, ...]
) -> Service:
    initial, minimum, maximum = shape.window.apply_defaults()
    return Service(
        name=name,
        engine=EngineType(shape.engine),
        depends_on=tuple(dict.fromkeys(shape.depends_on)),
        kinds=tuple(
            _build_kind(n, name, k, tiers) for n, k in shape.kinds.items()
        ),
        targets=_build_targets(name, shape),
        initial_window=initial,
        min_window=minimum,
        max_window=maximum,
        max_queue=shape.max_queue,
    )


def _build_kind(
    name: str, service: str, shape: KindShape, tiers: tuple[str, ...]
) -> Kind:
    return Kind(
        name=name,
        service=service,
        method=shape.route.method,
        path=shape.route.path,
        model=shape.route.model,
        tier=tiers.index(shape.tier),
        idempotent=shape.idempotent,
        deadline_ms=shape.deadline,
        max_body_bytes=shape.max_body,
        max_answer_bytes=shape.max_answer,
        keep_answer_ms=find_keep_answer_ms(shape),
    )


def _build_targets(service: str, shape: ServiceShape) -> tuple[Target, ...]:
    targets = []
    for zone, entries in shape.targets.items():
        for entry in entries:
            host, port = entry.address
            targets.append(
                Target(
                    name=entry.name,
                    service=service,
                    zone=zone,
                    host=host,
                    port=port,
                    checks_fencing=entry.checks_fencing,
                )
            )
    return tuple(targets)
