"""The size to design for, the measured costs and what follows from them."""

import dataclasses
import statistics
from collections.abc import Sequence

# The size to design for (docs/design.md, "Users and sizes").
NODES = 720
RUNNERS = 7_600
REQUESTS_PER_S = 38_000
TOKENS_PER_S = 16_000_000
TOKEN_GAP_MS = 25
ZONES = 9
MODELS = 38
TEXTS_PER_DAY = 11_000
FAILURES_PER_DAY = 87
RESTARTS_PER_DAY = 2_500
MAX_CORE_PERCENT = 2.5
MAX_MEMORY_MIB = 32_000_000 / 2**20
MAX_BYTES_PER_S = 14_000
MAX_TEXT_S = 3.0
PLATFORM_CALLS_PER_S = 2_000

# From the code; each is named where it stands.
MESH_PEERS = 16  # domain/membership.py
NEIGHBOURS = 8 + 2  # domain/membership.py, in the zone and outside
POLLS_PER_S = 64  # adapters/loads.py
DIVISIONS_PER_S = 5  # node.py
READERS_PER_ZONE = 2  # adapters/textsync.py
CALLS_PER_READER = 2  # adapters/textsync.py: text and instance list
KEEP_ANSWER_S = 600  # adapters/textschema.py
MAX_ANSWER_BYTES = 64 << 20  # adapters/settings.py
MAX_RECORDS = 50_000  # adapters/settings.py
MAX_WAITING = 1_024  # adapters/settings.py
MAX_FINGERPRINTS = 4_096  # domain/quarantine.py
EVENT_BYTES = 84  # peridotbend_emulator/costtarget.py
SECONDS_PER_DAY = 86_400
KIB, MIB = 2**10, 2**20

# The keys of the figures, as peridotbend_emulator writes them.
IDLE_KEY = "idle, {} instances, {} targets: {}"
CPU, SENT, MEMORY = "processor (% of a core)", "sent (bytes/s)", "memory (MiB)"
SHORT = "processor time per short call, 200 targets (us)"
EVENT = "processor time per relayed event (us)"
RECORD = "memory per record (bytes)"
WAITING = "memory per waiting request, with its connection (bytes)"
FINGERPRINT = "memory per fingerprint (bytes)"
CHECK = "processor time to check a fingerprint (us)"
DEMAND = "size of a demand of nothing (bytes)"
DIVISION = "processor time of a division, 11 targets, 80 peers (us)"
FULL_TEXT = f"a text of {RUNNERS} targets"
PARSE = f"processor time to parse {FULL_TEXT} (s)"
PARSE_CHANGE = f"processor time to parse a change of {FULL_TEXT} (s)"
TEXT_MEMORY = f"memory of {FULL_TEXT} (MiB)"
TEXT_SIZE = f"size of {FULL_TEXT} (bytes)"
TEXT_IN_FORCE = "text in force on 32 instances (s)"
TABLES_MEMORY = f"memory of the tables of {RUNNERS} targets (MiB)"
TABLES_CPU = f"idle, {RUNNERS} applications: {CPU}"
SIZES, TARGETS = (2, 4, 8, 16, 32), (10, 200)


class Measured:
    """The medians of a file of slopes."""

    def __init__(self, document: dict[str, dict[str, dict[str, object]]]):
        self.document = document
        self._medians: dict[str, float] = {}
        for part in document.values():
            for key, spread in part["slopes"].items():
                assert isinstance(spread, dict)
                self._medians[key] = float(spread["median"])

    def __getitem__(self, key: str) -> float:
        return self._medians[key]

    def idle(self, size: int, targets: int, what: str) -> float:
        """Returns a figure of an idle instance."""
        return self[IDLE_KEY.format(size, targets, what)]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points."""

    start: float
    slope: float

    def at(self, x: float) -> float:
        """Returns the value at `x`."""
        return self.start + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the line of least squares."""
    xs, ys = zip(*points, strict=True)
    slope, start = statistics.linear_regression(xs, ys)
    return Line(start, slope)


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """What falls to one node at the size to design for."""

    requests_per_s: float = REQUESTS_PER_S / NODES
    tokens_per_s: float = TOKENS_PER_S / NODES
    streams: float = TOKENS_PER_S / NODES * TOKEN_GAP_MS / 1_000
    answer_bytes: float = TOKENS_PER_S / REQUESTS_PER_S * EVENT_BYTES
    divided_targets: float = RUNNERS / NODES
    zone_peers: float = NODES / ZONES
    texts_per_s: float = TEXTS_PER_DAY / SECONDS_PER_DAY


NODE = Node()


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """What control costs a node, by its links to peers."""

    cpu: Line
    sent: Line
    poll_cpu_percent: float

    def cpu_percent(self, links: float) -> float:
        """Returns the part of a core, with all load polls."""
        return self.cpu.at(links) + POLLS_PER_S * self.poll_cpu_percent


def fit_control(measured: Measured) -> Control:
    """Fits the idle runs in which every instance links to every other."""
    few, many = TARGETS
    mesh = [size for size in SIZES if size <= MESH_PEERS]
    polls = min(many, POLLS_PER_S) - few
    poll_cpu = statistics.median(
        (measured.idle(n, many, CPU) - measured.idle(n, few, CPU)) / polls
        for n in mesh
    )
    cpu = fit_line(
        [(n - 1, measured.idle(n, few, CPU) - few * poll_cpu) for n in mesh]
    )
    sent = fit_line([(n - 1, measured.idle(n, few, SENT)) for n in mesh])
    return Control(cpu, sent, poll_cpu)


def write_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def write_number(value: float) -> str:
    """Returns a number with three significant digits."""
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def write_fit(value: float, bound: float, unit: str) -> str:
    """Tells whether a value is within its bound, or by how much not."""
    if value <= bound:
        return f"fits ({write_number(value / bound * 100)}% of the bound)"
    excess = write_number(value - bound)
    return f"**over by {excess} {unit}** ({write_number(value / bound)} times)"
