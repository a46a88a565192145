"""What operators see of a running node: status, state dump, explanations."""

from typing import TYPE_CHECKING

from peridotbend.adapters.operators import OperatorHooks
from peridotbend.domain.ports import SuspectState
from peridotbend.domain.records import RequestRecord
from peridotbend.domain.requestids import LOG_KEY_LENGTH

if TYPE_CHECKING:
    from peridotbend.node import Node

# A dump of every record would be megabytes; the newest tell the most.
MAX_DUMPED_RECORDS = 200
MAX_LISTED_FINGERPRINTS = 4_096


def make_operator_hooks(node: "Node") -> OperatorHooks:
    """Returns what the operators' application calls."""
    return OperatorHooks(
        render_metrics=node.meter.render,
        is_ready=lambda: is_ready(node),
        dump=lambda: dump_node(node),
        status=lambda: summarize_node(node),
        explain=lambda token: explain_request(node, token),
        list_quarantine=lambda: list_quarantine(node),
        start_drain=node.start_drain,
    )


def is_ready(node: "Node") -> bool:
    """Tells whether new requests are accepted."""
    return node.store.current is not None and not node.service.draining


def summarize_node(node: "Node") -> dict[str, object]:
    """Returns the few values that a person looks at first."""
    accepted_at_ms = node.store.accepted_at_ms
    conflict = node.store.conflict
    return {
        "instance": node.settings.name,
        "zone": node.settings.zone,
        "incarnation": node.incarnation,
        "ready": is_ready(node),
        "draining": node.service.draining,
        "text_version": node.store.version,
        "text_age_ms": (
            node.clock.now_ms() - accepted_at_ms if accepted_at_ms else None
        ),
        "text_conflict": str(conflict) if conflict else None,
        "platform_reachable": node.sync.is_platform_reachable(),
        "platform_calls_per_s": node.platform.calls_per_s(),
        "records": len(node.table),
        "answer_bytes": node.table.budget.used_bytes,
        "connections": node.caller_server.count_connections(),
        "body_bytes": node.caller_app.bodies.used_bytes,
        "peers": [
            {"peer": peer.name, "zone": peer.zone, "draining": peer.draining}
            for peer in node.roster.list_live_peers()
        ],
        "in_flight": [
            {"target": name, "requests": count}
            for name, count in sorted(node.dispatcher.in_flight.count().items())
        ],
    }


def dump_node(node: "Node") -> dict[str, object]:
    """Returns the whole state but for secrets and bodies."""
    records = list(node.table)[-MAX_DUMPED_RECORDS:]
    return {
        "summary": summarize_node(node),
        "membership": node.roster.dump(),
        "scheduler": node.scheduler.dump(),
        "quarantine": list_quarantine(node),
        "targets": [
            {
                "target": target.name,
                "service": target.service,
                "zone": target.zone,
                "address": f"{target.host}:{target.port}",
                # Recorded only: requests carry no fencing number.
                "checks_fencing": target.checks_fencing,
            }
            for target in node.targets
        ],
        "records": [describe_record(node, record) for record in records],
    }


def describe_record(node: "Node", record: RequestRecord) -> dict[str, object]:
    """Returns a record without its answer and its whole ID."""
    verdict = record.answer.verdict
    return {
        "request": record.log_key,
        "account": record.account,
        "service": record.service,
        "kind": record.kind,
        "state": record.state.value,
        "target": record.target or None,
        "answer_bytes": len(record.answer),
        "expires_in_ms": record.expires_at_ms - node.clock.now_ms(),
        "verdict": verdict.label if verdict else None,
        "reason": getattr(verdict, "reason", None),
    }


def explain_request(node: "Node", token: str) -> dict[str, object] | None:
    """Returns what is known about an ID or its first characters."""
    record = node.table.find(token)
    if record is None and len(token) >= LOG_KEY_LENGTH:
        key = token[:LOG_KEY_LENGTH]
        record = next((r for r in node.table if r.log_key == key), None)
    return describe_record(node, record) if record else None


def list_quarantine(node: "Node") -> list[dict[str, object]]:
    """Returns suspected and quarantined fingerprints."""
    return [
        {
            "fingerprint": entry.value.hex(),
            "state": entry.state.name.lower(),
            "remaining_ms": entry.remaining_ms,
        }
        for entry in node.suspects.export(MAX_LISTED_FINGERPRINTS)
        if entry.state is not SuspectState.CLEAN
    ]
