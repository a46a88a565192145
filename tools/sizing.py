"""The design size, the measured costs and the load and cost of one node."""

import dataclasses
import statistics
from collections.abc import Sequence

# The design size: the fleet, its load and the limits for one node
# (docs/design.md, "Users and sizes").
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
MAX_TEXT_DELAY_S = 3.0
PLATFORM_CALLS_PER_S = 2_000

# Copies of constants in the source; each comment names the module.
FULL_MESH_PEERS = 16  # domain/peertable.py
NEIGHBOURS = 8 + 2  # domain/peertable.py: in the zone and in other zones
POLLS_PER_S = 64  # adapters/loads.py
DIVISIONS_PER_S = 5  # node.py
READERS_PER_ZONE = 2  # domain/membership.py
CALLS_PER_READER = 2  # adapters/textsync.py: text and instance list
KEEP_ANSWER_S = 600  # adapters/textschema.py
MAX_ANSWER_BYTES = 64 << 20  # adapters/settings.py
MAX_RECORDS = 50_000  # adapters/settings.py
MAX_WAITING = 1_024  # adapters/settings.py
MAX_FINGERPRINTS = 4_096  # domain/quarantine.py
EVENT_BYTES = 84  # peridotbend_emulator/costtarget.py
SECONDS_PER_DAY = 86_400
KIB, MIB = 2**10, 2**20

# Keys of the measured figures, as peridotbend_emulator writes them.
IDLE_KEY = "idle, {} instances, {} targets: {}"
CPU, SENT, MEMORY = "processor (% of a core)", "sent (bytes/s)", "memory (MiB)"
SHORT_CALL_CPU_KEY = "processor time per short call, 200 targets (us)"
EVENT_CPU_KEY = "processor time per relayed event (us)"
RECORD_MEMORY_KEY = "memory per record (bytes)"
WAITING_MEMORY_KEY = "memory per waiting request, with its connection (bytes)"
FINGERPRINT_MEMORY_KEY = "memory per fingerprint (bytes)"
FINGERPRINT_CPU_KEY = "processor time to check a fingerprint (us)"
DEMAND_SIZE_KEY = "size of a demand of nothing (bytes)"
DIVISION_CPU_KEY = "processor time of a division, 11 targets, 80 peers (us)"
FULL_TEXT = f"a text of {RUNNERS} targets"
PARSE_CPU_KEY = f"processor time to parse {FULL_TEXT} (s)"
PARSE_CHANGE_CPU_KEY = f"processor time to parse a change of {FULL_TEXT} (s)"
TEXT_MEMORY_KEY = f"memory of {FULL_TEXT} (MiB)"
TEXT_SIZE_KEY = f"size of {FULL_TEXT} (bytes)"
TEXT_IN_FORCE_KEY = "text in force on 32 instances (s)"
TABLES_MEMORY_KEY = f"memory of the tables of {RUNNERS} targets (MiB)"
TABLES_CPU_KEY = f"idle, {RUNNERS} applications: {CPU}"
# Numbers of instances and of targets in the idle runs.
IDLE_INSTANCES, IDLE_TARGETS = (2, 4, 8, 16, 32), (10, 200)


class Measurements:
    """The figures of a file of slopes, by key; each is a median."""

    def __init__(self, document: dict[str, dict[str, dict[str, object]]]):
        self.document = document
        self._medians: dict[str, float] = {}
        for part in document.values():
            for key, spread in part["slopes"].items():
                assert isinstance(spread, dict)
                self._medians[key] = float(spread["median"])

    def __getitem__(self, key: str) -> float:
        return self._medians[key]

    def idle_cost(self, instances: int, targets: int, figure: str) -> float:
        """Returns the median of `figure`, one of CPU, SENT and MEMORY."""
        return self[IDLE_KEY.format(instances, targets, figure)]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points."""

    intercept: float
    slope: float

    def at(self, x: float) -> float:
        """Returns the value at `x`."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the least-squares line through the points."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    return Line(intercept, slope)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLoad:
    """The load of one node at the design size."""

    requests_per_s: float = REQUESTS_PER_S / NODES
    tokens_per_s: float = TOKENS_PER_S / NODES
    streams: float = TOKENS_PER_S / NODES * TOKEN_GAP_MS / 1_000
    answer_bytes: float = TOKENS_PER_S / REQUESTS_PER_S * EVENT_BYTES
    divided_targets: float = RUNNERS / NODES
    zone_peers: float = NODES / ZONES
    texts_per_s: float = TEXTS_PER_DAY / SECONDS_PER_DAY


NODE = NodeLoad()


@dataclasses.dataclass(frozen=True, slots=True)
class ControlCost:
    """What peer exchange and load polls cost a node.

    `cpu` (% of a core) and `sent` (bytes/s) are functions of the number of
    links to peers.
    """

    cpu: Line
    sent: Line
    poll_cpu_percent: float

    def cpu_percent(self, links: float) -> float:
        """Returns the use of a core in percent, load polls included."""
        return self.cpu.at(links) + POLLS_PER_S * self.poll_cpu_percent


def fit_control(measured: Measurements) -> ControlCost:
    """Fits the idle runs whose instances form a full mesh."""
    few, many = IDLE_TARGETS
    mesh_sizes = [size for size in IDLE_INSTANCES if size <= FULL_MESH_PEERS]
    polls = min(many, POLLS_PER_S) - few
    poll_cpu = statistics.median(
        (
            measured.idle_cost(size, many, CPU)
            - measured.idle_cost(size, few, CPU)
        )
        / polls
        for size in mesh_sizes
    )
    cpu = fit_line(
        [
            (size - 1, measured.idle_cost(size, few, CPU) - few * poll_cpu)
            for size in mesh_sizes
        ]
    )
    sent = fit_line(
        [(size - 1, measured.idle_cost(size, few, SENT)) for size in mesh_sizes]
    )
    return ControlCost(cpu, sent, poll_cpu)


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def format_number(value: float) -> str:
    """Returns a number with three significant digits."""
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def format_fit(value: float, bound: float, unit: str) -> str:
    """Returns if a value is within its bound, or by how much it is over."""
    if value <= bound:
        return f"fits ({format_number(value / bound * 100)}% of the bound)"
    excess = format_number(value - bound)
    return f"**over by {excess} {unit}** ({format_number(value / bound)} times)"
