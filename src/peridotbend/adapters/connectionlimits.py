"""Limits for the connections of a listener."""

import dataclasses
import resource

# Connections above max_connections that are accepted only to be refused with
# an error response; any beyond these are closed without a response.
MAX_REFUSED_CONNECTIONS = 256
# File descriptors reserved for peers, targets and the platform.
RESERVED_FILES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits for the connections of one listener."""

    # About 7 KB of memory each while idle, 11 KB with one answered request.
    max_connections: int = 2_048
    max_header_bytes: int = 16_384
    # From the connect or the first byte of a request to the end of its headers.
    header_timeout_s: float = 10.0
    # How long a caller may go without reading any of a response.
    write_stall_timeout_s: float = 30.0

    def cap_to_open_files(self) -> "ConnectionLimits":
        """Returns the limits, capped by the file descriptor limit."""
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return self if files == resource.RLIM_INFINITY else self.cap_to(files)

    def cap_to(self, files: int) -> "ConnectionLimits":
        """Returns the limits, capped for a number of file descriptors."""
        available = max(1, files - MAX_REFUSED_CONNECTIONS - RESERVED_FILES)
        return dataclasses.replace(
            self, max_connections=min(available, self.max_connections)
        )
