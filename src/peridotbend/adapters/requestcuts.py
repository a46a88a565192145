"""Cuts what a caller sends where a request may end.

The parser can't be stopped between two requests. It is therefore fed no
further than the next place at which one may end, and the rest is kept until
the request before was answered.
"""

# The most that is parsed before limits are checked.
MAX_PART_BYTES = 4_096
# Data of chunks may hold many blank lines; smaller parts would cost more time.
MIN_CHUNKED_BYTES = 256


def find_cut(data: bytes, begin: int) -> int:
    """Returns the end of the first blank line, or of the largest part."""
    limit = min(len(data), begin + MAX_PART_BYTES)
    found = data.find(b"\n\r\n", begin, limit)
    cut = found + 3 if found >= 0 else limit
    bare = data.find(b"\n\n", begin, cut)
    return bare + 2 if bare >= 0 else cut


def find_chunked_cut(data: bytes, begin: int) -> int:
    """Returns the end of a part of a body in chunks.

    Its last chunk and trailers end with a blank line as well.
    """
    return find_cut(data, min(len(data), begin + MIN_CHUNKED_BYTES))


def skip_empty_lines(data: bytes) -> bytes:
    """Returns what follows the empty lines before a request."""
    return data.lstrip(b"\r\n") if data[:1] in (b"\r", b"\n") else data
