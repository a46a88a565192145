"""Computes the tables of docs/CAPACITY.md from docs/slopes.json.

`python tools/capacity.py` replaces the tables between the lines
`<!-- table: NAME -->` and `<!-- end -->` and keeps the rest of the page.
"""

import json
import pathlib
import re
from collections.abc import Callable

import sizing
from sizing import (
    CALLS_PER_READER,
    CPU,
    DIVISIONS_PER_S,
    FAILURES_PER_DAY,
    KEEP_ANSWER_S,
    MAX_ANSWER_BYTES,
    MAX_BYTES_PER_S,
    MAX_CORE_PERCENT,
    MAX_FINGERPRINTS,
    MAX_MEMORY_MIB,
    MAX_RECORDS,
    MAX_TEXT_DELAY_S,
    MAX_WAITING,
    MEMORY,
    MIB,
    NEIGHBOURS,
    NODE,
    NODES,
    PLATFORM_CALLS_PER_S,
    POLLS_PER_S,
    READERS_PER_ZONE,
    RUNNERS,
    SENT,
    ZONES,
    Measurements,
    fit_control,
    format_fit,
    format_number,
    format_table,
)

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
SLOPES = DOCS / "slopes.json"
TABLE_BLOCK = re.compile(
    r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL
)


def make_measured_table(measured: Measurements) -> str:
    """Returns the table of all measured figures with their spread."""
    rows = []
    for part, result in sorted(measured.document.items()):
        for key, spread in result["slopes"].items():
            assert isinstance(spread, dict)
            numbers = [
                f"{float(spread[name]):,g}"
                for name in ("median", "low", "high")
            ]
            rows.append((part, key, *numbers, str(spread["repeats"])))
    header = ("part", "figure (unit)", "median", "lowest", "highest", "samples")
    return format_table(header, rows)


def make_machine_table(measured: Measurements) -> str:
    """Returns the table of where and when each part was measured."""
    rows = []
    for part, result in sorted(measured.document.items()):
        machine = result["machine"]
        rows.append(
            (
                part,
                f"{machine['processor']}, {machine['cores']} cores",
                format_number(float(str(machine["load_average_1_min"]))),
                f"Python {machine['python']}",
                str(machine["revision"]),
                str(machine["at"]),
            )
        )
    header = ("part", "machine", "load average", "Python", "revision", "at")
    return format_table(header, rows)


def make_roles_table(measured: Measurements) -> str:
    """Returns the table of what each role costs one node."""
    n, control = format_number, fit_control(measured)
    short_us = measured[sizing.SHORT_CALL_CPU_KEY]
    event_us = measured[sizing.EVENT_CPU_KEY]
    division_us = measured[sizing.DIVISION_CPU_KEY]
    parse_s = measured[sizing.PARSE_CHANGE_CPU_KEY]
    record_bytes = measured[sizing.RECORD_MEMORY_KEY]
    record_count = min(MAX_RECORDS, NODE.requests_per_s * KEEP_ANSWER_S)
    waiting_bytes = measured[sizing.WAITING_MEMORY_KEY]
    fingerprint_bytes = measured[sizing.FINGERPRINT_MEMORY_KEY]
    tables_mib = measured[sizing.TABLES_MEMORY_KEY]
    text_mib = measured[sizing.TEXT_MEMORY_KEY]
    checks_percent = (
        NODE.requests_per_s * measured[sizing.FINGERPRINT_CPU_KEY] / 1e4
    )
    process_mib = measured.idle_cost(32, 10, MEMORY)
    links = 2 * NEIGHBOURS
    rows = [
        (
            "towards callers",
            f"{n(record_count)} records; at most {MAX_WAITING:,} waiting"
            f" requests and {MAX_ANSWER_BYTES >> 20} MiB of answers",
            f"{n(NODE.requests_per_s)} calls/s in,"
            f" {n(NODE.tokens_per_s)} events/s out"
            f" on {n(NODE.streams)} streams",
            f"{n(NODE.requests_per_s * short_us / 1e4)}% of a core for calls"
            " (both sides)",
            f"{n(record_count * record_bytes / MIB)} MiB of records,"
            f" {n(MAX_WAITING * waiting_bytes / MIB)} MiB of waiting requests",
            "RequestTable, AnswerBuffer, uvicorn",
        ),
        (
            "towards targets",
            f"windows, shares and estimates of {RUNNERS:,} targets",
            f"{n(NODE.tokens_per_s)} events/s in; {POLLS_PER_S} load polls/s",
            f"{n(NODE.tokens_per_s * event_us / 1e6)} cores for events (both"
            f" sides); {n(POLLS_PER_S * control.poll_cpu_percent)}% for polls",
            f"{n(tables_mib)} MiB of tables",
            "Scheduler, Router, httpcore",
        ),
        (
            "peer of its zone",
            f"at most {NODES:,} peers; {links} streams",
            f"{links * 5} digests/s sent,"
            f" {n(control.sent.at(links))} bytes/s",
            f"{n(control.cpu.at(links))}% of a core",
            f"{n(process_mib)} MiB for the whole idle process",
            "Exchange streams, 8 + 2 neighbours",
        ),
        (
            "divider",
            f"demands of {n(NODE.zone_peers)} peers for"
            f" {n(NODE.divided_targets)} targets",
            f"{n(NODE.zone_peers * DIVISIONS_PER_S)} digests/s in and out when"
            " every peer has demand",
            f"{n(division_us * DIVISIONS_PER_S / 1e4)}% of a core for the"
            " divisions; "
            f"{n(control.cpu.slope * NODE.zone_peers)}% for the streams",
            "not measured apart",
            "WindowDivider, rendezvous hash",
        ),
        (
            "reader of the platform",
            "one text, two pending watches",
            f"{ZONES * READERS_PER_ZONE * CALLS_PER_READER} pending watches of"
            f" {PLATFORM_CALLS_PER_S:,} calls/s in the fleet;"
            f" {n(NODE.texts_per_s)} texts/s",
            f"{n(NODE.texts_per_s * parse_s * 100)}% of a core to parse (every"
            " node parses)",
            f"{n(text_mib)} MiB for the text",
            "TextSync, two readers in each zone",
        ),
        (
            "owner of fingerprints",
            f"at most {MAX_FINGERPRINTS:,} fingerprints and their trials",
            f"{FAILURES_PER_DAY} failures a day in the fleet",
            f"{n(checks_percent)}% of a core to check each call",
            f"{n(MAX_FINGERPRINTS * fingerprint_bytes / MIB)} MiB",
            "SuspectTable, rendezvous hash",
        ),
    ]
    header = ("role", "state", "messages", "processor", "memory", "mechanism")
    return format_table(header, rows)


def make_bounds_table(measured: Measurements) -> str:
    """Returns the table of computed figures, their bounds and the results."""
    n, control = format_number, fit_control(measured)
    links = 2 * NEIGHBOURS
    all_links = NODE.zone_peers + links
    event_us = measured[sizing.EVENT_CPU_KEY]
    division_us = measured[sizing.DIVISION_CPU_KEY]
    parse_change_s = measured[sizing.PARSE_CHANGE_CPU_KEY]
    parse_whole_s = measured[sizing.PARSE_CPU_KEY]
    text_bytes = measured[sizing.TEXT_SIZE_KEY]
    tables_percent = measured[sizing.TABLES_CPU_KEY]
    process_mib = measured.idle_cost(32, 10, MEMORY)
    event_cores = NODE.tokens_per_s * event_us / 1e6
    checks: list[tuple[str, float, float, str, str]] = [
        ("relayed events, one core a node", event_cores, 1.0, "cores",
         "several processes a node; a cheaper parser of chunked bodies"),
        ("calls, 200 targets to choose from, one core a node",
         NODE.requests_per_s * measured[sizing.SHORT_CALL_CPU_KEY] / 1e6,
         1.0, "cores", "choose from a sample of the targets"),
        ("answers kept for 600 s",
         NODE.requests_per_s * NODE.answer_bytes * KEEP_ANSWER_S / MIB,
         MAX_ANSWER_BYTES / MIB, "MiB",
         "larger `max_answers` or shorter `keep_answer`; delivered answers"
         " are evicted first (built)"),
        ("idle control of one zone of 32", measured.idle_cost(32, 10, CPU),
         MAX_CORE_PERCENT, "% of a core", "fewer digests while idle"),
        ("control, 20 links", control.cpu.at(links), MAX_CORE_PERCENT,
         "% of a core", "fewer digests while idle"),
        ("control, links to all dividers of the zone",
         control.cpu.at(all_links), MAX_CORE_PERCENT, "% of a core",
         "fewer dividers: one for the targets of a service"),
        ("load polls", POLLS_PER_S * control.poll_cpu_percent,
         MAX_CORE_PERCENT, "% of a core",
         "one poller for each runner, which spreads the report in digests"),
        ("age of a load report when its turn comes",
         RUNNERS / POLLS_PER_S, 1.0, "s",
         "one poller for each runner; a report counts half after 1 s"),
        (f"tables of {RUNNERS:,} targets, without calls", tables_percent,
         MAX_CORE_PERCENT, "% of a core",
         "built: only targets in demand are divided (domain/demand.py)"),
        ("divisions", division_us * DIVISIONS_PER_S / 1e4, MAX_CORE_PERCENT,
         "% of a core", "divide only when a demand has changed"),
        ("parsing changed texts", NODE.texts_per_s * parse_change_s * 100,
         MAX_CORE_PERCENT, "% of a core",
         "apply a change to the parsed text"),
        ("parsing whole texts", NODE.texts_per_s * parse_whole_s * 100,
         MAX_CORE_PERCENT, "% of a core",
         "built: only changed services are parsed (adapters/textcache.py)"),
        ("sent for control, 20 links", control.sent.at(links),
         MAX_BYTES_PER_S, "bytes/s", "fewer digests while idle"),
        ("sent for control, links to all dividers of the zone",
         control.sent.at(all_links), MAX_BYTES_PER_S, "bytes/s",
         "fewer dividers: one for the targets of a service"),
        ("sent by each of 32 instances, 200 targets",
         measured.idle_cost(32, 200, SENT), MAX_BYTES_PER_S, "bytes/s",
         "built: only targets in demand are divided (domain/demand.py)"),
        (f"demand at {RUNNERS:,} targets, sent to their dividers",
         RUNNERS * DIVISIONS_PER_S * measured[sizing.DEMAND_SIZE_KEY],
         MAX_BYTES_PER_S, "bytes/s",
         "built: only targets in demand; this is the worst case"),
        ("whole texts sent, one copy a node", NODE.texts_per_s * text_bytes,
         MAX_BYTES_PER_S, "bytes/s",
         "built: peers send the difference (domain/textdelta.py)"),
        ("memory of an idle process", process_mib, MAX_MEMORY_MIB, "MiB",
         "fewer libraries; most of it is there after the imports"),
        ("text in force on 32 instances",
         measured[sizing.TEXT_IN_FORCE_KEY], MAX_TEXT_DELAY_S, "s",
         "unknown for 720 nodes"),
        ("pending watches at the platform",
         ZONES * READERS_PER_ZONE * CALLS_PER_READER, PLATFORM_CALLS_PER_S,
         "calls/s", "none needed"),
    ]  # fmt: skip
    rows = [
        (
            name,
            f"{n(value)} {unit}",
            f"{n(bound)} {unit}",
            format_fit(value, bound, unit),
            remedy if value > bound else "",
        )
        for name, value, bound, unit, remedy in checks
    ]
    header = ("figure", "worked out", "bound", "result", "what would mend it")
    return format_table(header, rows)


TABLES: dict[str, Callable[[Measurements], str]] = {
    "machine": make_machine_table,
    "measured": make_measured_table,
    "roles": make_roles_table,
    "bounds": make_bounds_table,
}


def render_page(page: str, measured: Measurements) -> str:
    """Returns the page with recomputed tables."""
    return TABLE_BLOCK.sub(
        lambda match: match[1] + "\n" + TABLES[match[2]](measured) + match[3],
        page,
    )


def main() -> None:
    """Rewrites the tables in the page."""
    measured = Measurements(json.loads(SLOPES.read_text()))
    PAGE.write_text(render_page(PAGE.read_text(), measured))


if __name__ == "__main__":
    main()
