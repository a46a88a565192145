"""Works out docs/CAPACITY.md's tables from docs/slopes.json.

`python tools/capacity.py` rewrites the tables, which stand between the lines
`<!-- table: NAME -->` and `<!-- end -->`; the rest of the page is kept.
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
    MAX_TEXT_S,
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
    Measured,
    fit_control,
    write_fit,
    write_number,
    write_table,
)

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
SLOPES = DOCS / "slopes.json"
TABLE = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)


def make_measured_table(measured: Measured) -> str:
    """Returns all measured figures with their spread."""
    rows = []
    for part, found in sorted(measured.document.items()):
        for key, spread in found["slopes"].items():
            assert isinstance(spread, dict)
            numbers = [
                f"{float(spread[name]):,g}"
                for name in ("median", "low", "high")
            ]
            rows.append((part, key, *numbers, str(spread["repeats"])))
    head = ("part", "figure (unit)", "median", "lowest", "highest", "samples")
    return write_table(head, rows)


def make_machine_table(measured: Measured) -> str:
    """Returns where and when each part was measured."""
    rows = []
    for part, found in sorted(measured.document.items()):
        machine = found["machine"]
        rows.append(
            (
                part,
                f"{machine['processor']}, {machine['cores']} cores",
                write_number(float(str(machine["load_average_1_min"]))),
                f"Python {machine['python']}",
                str(machine["revision"]),
                str(machine["at"]),
            )
        )
    head = ("part", "machine", "load average", "Python", "revision", "at")
    return write_table(head, rows)


def make_roles_table(measured: Measured) -> str:
    """Returns what each role costs one node."""
    w, control = write_number, fit_control(measured)
    short_us = measured[sizing.SHORT]
    event_us = measured[sizing.EVENT]
    division_us = measured[sizing.DIVISION]
    parse_s = measured[sizing.PARSE_CHANGE]
    record = measured[sizing.RECORD]
    records = min(MAX_RECORDS, NODE.requests_per_s * KEEP_ANSWER_S)
    waiting = measured[sizing.WAITING]
    fingerprint = measured[sizing.FINGERPRINT]
    tables = measured[sizing.TABLES_MEMORY]
    text_mib = measured[sizing.TEXT_MEMORY]
    checks = NODE.requests_per_s * measured[sizing.CHECK] / 1e4
    process = measured.idle(32, 10, MEMORY)
    links = 2 * NEIGHBOURS
    rows = [
        (
            "towards callers",
            f"{w(records)} records; at most {MAX_WAITING:,} waiting requests"
            f" and {MAX_ANSWER_BYTES >> 20} MiB of answers",
            f"{w(NODE.requests_per_s)} calls/s in,"
            f" {w(NODE.tokens_per_s)} events/s out"
            f" on {w(NODE.streams)} streams",
            f"{w(NODE.requests_per_s * short_us / 1e4)}% of a core for calls"
            " (both sides)",
            f"{w(records * record / MIB)} MiB of records,"
            f" {w(MAX_WAITING * waiting / MIB)} MiB of waiting requests",
            "RequestTable, AnswerBuffer, uvicorn",
        ),
        (
            "towards targets",
            f"windows, shares and estimates of {RUNNERS:,} targets",
            f"{w(NODE.tokens_per_s)} events/s in; {POLLS_PER_S} load polls/s",
            f"{w(NODE.tokens_per_s * event_us / 1e6)} cores for events (both"
            f" sides); {w(POLLS_PER_S * control.poll_cpu_percent)}% for polls",
            f"{w(tables)} MiB of tables",
            "Scheduler, Router, httpcore",
        ),
        (
            "peer of its zone",
            f"at most {NODES:,} peers; {links} streams",
            f"{links * 5} digests/s sent,"
            f" {w(control.sent.at(links))} bytes/s",
            f"{w(control.cpu.at(links))}% of a core",
            f"{w(process)} MiB for the whole idle process",
            "Exchange streams, 8 + 2 neighbours",
        ),
        (
            "divider",
            f"demands of {w(NODE.zone_peers)} peers for"
            f" {w(NODE.divided_targets)} targets",
            f"{w(NODE.zone_peers * DIVISIONS_PER_S)} digests/s in and out when"
            " every peer has demand",
            f"{w(division_us * DIVISIONS_PER_S / 1e4)}% of a core for the"
            " divisions; "
            f"{w(control.cpu.slope * NODE.zone_peers)}% for the streams",
            "not measured apart",
            "WindowDivider, rendezvous hash",
        ),
        (
            "reader of the platform",
            "one text, two pending watches",
            f"{ZONES * READERS_PER_ZONE * CALLS_PER_READER} pending watches of"
            f" {PLATFORM_CALLS_PER_S:,} calls/s in the fleet;"
            f" {w(NODE.texts_per_s)} texts/s",
            f"{w(NODE.texts_per_s * parse_s * 100)}% of a core to parse (every"
            " node parses)",
            f"{w(text_mib)} MiB for the text",
            "TextSync, two readers in each zone",
        ),
        (
            "owner of fingerprints",
            f"at most {MAX_FINGERPRINTS:,} fingerprints and their trials",
            f"{FAILURES_PER_DAY} failures a day in the fleet",
            f"{w(checks)}% of a core to check each call",
            f"{w(MAX_FINGERPRINTS * fingerprint / MIB)} MiB",
            "SuspectTable, rendezvous hash",
        ),
    ]
    head = ("role", "state", "messages", "processor", "memory", "mechanism")
    return write_table(head, rows)


def make_bounds_table(measured: Measured) -> str:
    """Returns each bound, what is worked out for it and if it fits."""
    w, control = write_number, fit_control(measured)
    links = 2 * NEIGHBOURS
    all_links = NODE.zone_peers + links
    event_us = measured[sizing.EVENT]
    division = measured[sizing.DIVISION]
    parse_s = measured[sizing.PARSE_CHANGE]
    whole_s = measured[sizing.PARSE]
    size = measured[sizing.TEXT_SIZE]
    tables = measured[sizing.TABLES_CPU]
    process = measured.idle(32, 10, MEMORY)
    cores = NODE.tokens_per_s * event_us / 1e6
    checks: list[tuple[str, float, float, str, str]] = [
        ("relayed events, one core a node", cores, 1.0, "cores",
         "several processes a node; a cheaper parser of chunked bodies"),
        ("calls, 200 targets to choose from, one core a node",
         NODE.requests_per_s * measured[sizing.SHORT] / 1e6, 1.0, "cores",
         "choose from a sample of the targets"),
        ("answers kept for 600 s",
         NODE.requests_per_s * NODE.answer_bytes * KEEP_ANSWER_S / MIB,
         MAX_ANSWER_BYTES / MIB, "MiB",
         "larger `max_answers` or shorter `keep_answer`; delivered answers"
         " are evicted first (built)"),
        ("idle control of one zone of 32", measured.idle(32, 10, CPU),
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
        (f"tables of {RUNNERS:,} targets, without calls", tables,
         MAX_CORE_PERCENT, "% of a core",
         "built: only targets in demand are divided (domain/demand.py)"),
        ("divisions", division * DIVISIONS_PER_S / 1e4, MAX_CORE_PERCENT,
         "% of a core", "divide only when a demand has changed"),
        ("parsing changed texts", NODE.texts_per_s * parse_s * 100,
         MAX_CORE_PERCENT, "% of a core",
         "apply a change to the parsed text"),
        ("parsing whole texts", NODE.texts_per_s * whole_s * 100,
         MAX_CORE_PERCENT, "% of a core",
         "built: only changed services are parsed (adapters/textcache.py)"),
        ("sent for control, 20 links", control.sent.at(links),
         MAX_BYTES_PER_S, "bytes/s", "fewer digests while idle"),
        ("sent for control, links to all dividers of the zone",
         control.sent.at(all_links), MAX_BYTES_PER_S, "bytes/s",
         "fewer dividers: one for the targets of a service"),
        ("sent by each of 32 instances, 200 targets",
         measured.idle(32, 200, SENT), MAX_BYTES_PER_S, "bytes/s",
         "built: only targets in demand are divided (domain/demand.py)"),
        (f"demand at {RUNNERS:,} targets, sent to their dividers",
         RUNNERS * DIVISIONS_PER_S * measured[sizing.DEMAND],
         MAX_BYTES_PER_S, "bytes/s",
         "built: only targets in demand; this is the worst case"),
        ("whole texts sent, one copy a node", NODE.texts_per_s * size,
         MAX_BYTES_PER_S, "bytes/s",
         "built: peers send the difference (domain/textdelta.py)"),
        ("memory of an idle process", process, MAX_MEMORY_MIB, "MiB",
         "fewer libraries; most of it is there after the imports"),
        ("text in force on 32 instances",
         measured[sizing.TEXT_IN_FORCE], MAX_TEXT_S, "s",
         "unknown for 720 nodes"),
        ("pending watches at the platform",
         ZONES * READERS_PER_ZONE * CALLS_PER_READER, PLATFORM_CALLS_PER_S,
         "calls/s", "none needed"),
    ]  # fmt: skip
    rows = [
        (
            name,
            f"{w(value)} {unit}",
            f"{w(bound)} {unit}",
            write_fit(value, bound, unit),
            remedy if value > bound else "",
        )
        for name, value, bound, unit, remedy in checks
    ]
    head = ("figure", "worked out", "bound", "result", "what would mend it")
    return write_table(head, rows)


TABLES: dict[str, Callable[[Measured], str]] = {
    "machine": make_machine_table,
    "measured": make_measured_table,
    "roles": make_roles_table,
    "bounds": make_bounds_table,
}


def render_page(page: str, measured: Measured) -> str:
    """Returns the page with its tables worked out again."""
    return TABLE.sub(
        lambda match: match[1] + "\n" + TABLES[match[2]](measured) + match[3],
        page,
    )


def main() -> None:
    """Rewrites the tables of the page."""
    measured = Measured(json.loads(SLOPES.read_text()))
    PAGE.write_text(render_page(PAGE.read_text(), measured))


if __name__ == "__main__":
    main()
