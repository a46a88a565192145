"""State of a running node for operators: status, dump and explanations."""

from typing import Protocol

from peridotbend.adapters.callers import CallerApp
from peridotbend.adapters.metrics import PrometheusMeter
from peridotbend.adapters.operators import OperatorHooks
from peridotbend.adapters.platform import AbsentPlatform, HttpPlatform
from peridotbend.adapters.serving import HttpServer
from peridotbend.adapters.settings import NodeSettings
from peridotbend.adapters.textsync import TextSync
from peridotbend.domain.clock import SystemClock
from peridotbend.domain.dispatch import Dispatcher
from peridotbend.domain.membership import Roster
from peridotbend.domain.ports import SuspectState
from peridotbend.domain.quarantine import SuspectTable
from peridotbend.domain.records import RequestRecord, RequestTable
from peridotbend.domain.requestids import LOG_KEY_LENGTH
from peridotbend.domain.requests import RequestService
from peridotbend.domain.scheduler import Scheduler
from peridotbend.domain.text import Target
from peridotbend.domain.textstore import ConfigStore

# Limits the dump to the newest records; a dump of all records takes megabytes.
MAX_DUMPED_RECORDS = 200
MAX_LISTED_FINGERPRINTS = 4_096


class InspectedNode(Protocol):
    """The parts of a node that operators see."""

    settings: NodeSettings
    clock: SystemClock
    incarnation: int
    meter: PrometheusMeter
    roster: Roster
    config_store: ConfigStore
    suspects: SuspectTable
    scheduler: Scheduler
    records: RequestTable
    service: RequestService
    dispatcher: Dispatcher
    platform: HttpPlatform | AbsentPlatform
    text_sync: TextSync
    caller_app: CallerApp
    caller_server: HttpServer

    @property
    def targets(self) -> tuple[Target, ...]:
        """The targets of the configuration in force."""
        ...

    def start_drain(self) -> None:
        """Starts a graceful shutdown and returns at once."""
        ...


def make_operator_hooks(node: InspectedNode) -> OperatorHooks:
    """Returns the callbacks of the operators' application."""
    return OperatorHooks(
        render_metrics=node.meter.render,
        is_ready=lambda: is_ready(node),
        dump=lambda: dump_node(node),
        status=lambda: summarize_node(node),
        explain=lambda request_id: explain_request(node, request_id),
        list_quarantine=lambda: list_quarantine(node),
        start_drain=node.start_drain,
    )


def is_ready(node: InspectedNode) -> bool:
    """Tells whether new requests are accepted."""
    return node.config_store.current is not None and not node.service.draining


def summarize_node(node: InspectedNode) -> dict[str, object]:
    """Returns the status summary for operators."""
    accepted_at_ms = node.config_store.accepted_at_ms
    conflict = node.config_store.conflict
    return {
        "instance": node.settings.name,
        "zone": node.settings.zone,
        "incarnation": node.incarnation,
        "ready": is_ready(node),
        "draining": node.service.draining,
        "text_version": node.config_store.version,
        "text_age_ms": (
            node.clock.now_ms() - accepted_at_ms if accepted_at_ms else None
        ),
        "text_conflict": str(conflict) if conflict else None,
        "platform_reachable": node.text_sync.is_platform_reachable(),
        "platform_calls_per_s": node.platform.calls_per_s(),
        "records": len(node.records),
        "answer_bytes": node.records.budget.used_bytes,
        "connections": node.caller_server.count_connections(),
        "body_bytes": node.caller_app.body_budget.used_bytes,
        "peers": [
            {"peer": peer.name, "zone": peer.zone, "draining": peer.draining}
            for peer in node.roster.list_live_peers()
        ],
        "in_flight": [
            {"target": name, "requests": count}
            for name, count in sorted(node.dispatcher.in_flight.count().items())
        ],
    }


def dump_node(node: InspectedNode) -> dict[str, object]:
    """Returns the whole state except for secrets and bodies."""
    records = list(node.records)[-MAX_DUMPED_RECORDS:]
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
                # Informational only: requests carry no fencing number.
                "checks_fencing": target.checks_fencing,
            }
            for target in node.targets
        ],
        "records": [describe_record(node, record) for record in records],
    }


def describe_record(
    node: InspectedNode, record: RequestRecord
) -> dict[str, object]:
    """Returns a record without its answer and its full ID."""
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


def explain_request(
    node: InspectedNode, request_id: str
) -> dict[str, object] | None:
    """Returns the record of an ID or of an ID's first characters."""
    record = node.records.find(request_id)
    if record is None and len(request_id) >= LOG_KEY_LENGTH:
        id_prefix = request_id[:LOG_KEY_LENGTH]
        record = next((r for r in node.records if r.log_key == id_prefix), None)
    return describe_record(node, record) if record else None


def list_quarantine(node: InspectedNode) -> list[dict[str, object]]:
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
