"""The record of a soak: what happened when, and what was found."""

import dataclasses
import enum
import pathlib
import sys
from collections.abc import Iterable

from peridotbend.domain.clock import Clock


class Rule(enum.Enum):
    """A promise that a soak checks."""

    ORDER = "ORDER"
    MIXED = "MIXED"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    # A planned stop cuts a request.
    LOST = "LOST"
    # Answers and refusals come after the time of their callers.
    LATE = "LATE"
    # A process goes back to an older configuration.
    CONFIG = "CONFIG"
    # A process uses more memory or descriptors than it has.
    BOUNDS = "BOUNDS"
    RECOVER = "RECOVER"
    # A service runs a request that isn't for it.
    ROUTE = "ROUTE"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise."""

    rule: Rule
    # What was asked for, as the path of the request.
    subject: str
    detail: str


class Record:
    """Writes `record.txt`, `faults.txt` and `findings.txt` of a run."""

    def __init__(self, folder: pathlib.Path, clock: Clock):
        self.findings: list[Finding] = []
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._files = {
            name: (folder / f"{name}.txt").open("w", encoding="utf-8")
            for name in ("record", "faults", "findings")
        }

    def write(self, text: str) -> None:
        """Writes a line to the record."""
        self._write("record", text)

    def note_fault(self, text: str) -> None:
        """Writes a fault to the record and to the list of faults."""
        self._write("faults", text)
        self._write("record", f"FAULT {text}")

    def add_findings(self, findings: Iterable[Finding]) -> None:
        """Notes broken promises, also on standard error."""
        for finding in findings:
            self.findings.append(finding)
            text = f"{finding.rule.value} {finding.subject}: {finding.detail}"
            self._write("findings", text)
            self._write("record", f"FINDING {text}")
            print(f"BAD {text}", file=sys.stderr, flush=True)

    def close(self) -> None:
        """Closes the files."""
        for file in self._files.values():
            file.close()

    def _write(self, name: str, text: str) -> None:
        spent_ms = self._clock.now_ms() - self._start_ms
        # Lines are on disk at once, since a run may be interrupted.
        print(
            f"{spent_ms / 1_000:8.3f} {text}",
            file=self._files[name],
            flush=True,
        )
