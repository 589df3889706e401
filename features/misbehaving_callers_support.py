"""Crowds of callers that misbehave, on raw sockets."""

import asyncio
from contextlib import suppress

from gateway_support import API_KEY, HOST

from bilberryshed.state import Address

BODY = 1_000_000  # bytes of the largest legal body in these tests
MISSING = 100  # bytes that a nearly whole body lacks
SMALL = 1_000  # bytes of a small piece
CROWD_TIME = 4.0  # seconds that a crowd has for sending


def head(path, *fields, method="POST"):
    """Return the head of a request."""
    common = (f"Host: {HOST}", f"X-Key: {API_KEY}", "X-Deadline-Ms: 3000")
    lines = (f"{method} {path} HTTP/1.1", *common, *fields)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _sized(path, size):
    return head(path, "X-Attempt-Id: 00000000000000aa", f"Content-Length: {size}")


def _chunked(path):
    return head(path, "X-Attempt-Id: 00000000000000aa", "Transfer-Encoding: chunked")


def _chunks(size):
    return b"3e8\r\n" + b"x" * SMALL + b"\r\n", size // SMALL


async def _pieces(writer, first, piece, count):
    writer.write(first)
    for number in range(count):
        writer.write(piece)
        if number % 16 == 0:
            await writer.drain()
            await asyncio.sleep(0)
    await writer.drain()


async def _one_piece(writer, path):
    await _pieces(writer, _sized(path, BODY), b"x" * (BODY - MISSING), 1)


async def _small_pieces(writer, path):
    await _pieces(writer, _sized(path, BODY), b"x" * SMALL, (BODY - MISSING) // SMALL)


async def _in_chunks(writer, path):
    await _pieces(writer, _chunked(path), *_chunks(BODY - MISSING))


async def _oversized(writer, path):
    await _pieces(writer, _sized(path, 40 * BODY), b"x" * BODY, 20)


async def _oversized_chunks(writer, path):
    await _pieces(writer, _chunked(path), *_chunks(4 * BODY))


async def _many_fields(writer, path):
    fields = [f"a{number}: b" for number in range(1_500)]
    half = head(path, *fields, "X-Attempt-Id: 00000000000000aa", f"Content-Length: {BODY}")
    await _pieces(writer, half, b"x" * (BODY // 2), 1)


async def _ahead(writer, path):
    await _pieces(writer, b"", head(path, "X-Attempt-Id: 00000000000000aa", method="GET"), 4_000)


async def _slowly(writer, path):
    writer.write(_sized(path, BODY))
    for _ in range(30):
        writer.write(b"x" * (BODY // 40))
        await asyncio.sleep(0.1)


async def _byte_by_byte(writer, path):
    writer.write(_sized(path, SMALL))
    for _ in range(30):
        writer.write(b"x")
        await asyncio.sleep(0.1)


async def _half_head(writer, path):
    writer.write(f"GET {path} HTTP/1.1\r\nHost: ".encode())
    await writer.drain()


CROWDS = {
    "nearly whole bodies in one piece": _one_piece,
    "nearly whole bodies in small pieces": _small_pieces,
    "nearly whole bodies in chunks": _in_chunks,
    "bodies far over the limit": _oversized,
    "chunked bodies far over the limit": _oversized_chunks,
    "many short header fields": _many_fields,
    "many requests ahead": _ahead,
    "bodies slowly": _slowly,
    "small bodies byte by byte": _byte_by_byte,
    "requests for responses read slowly": _ahead,
    "half a head": _half_head,
}


_ATTEMPT = "X-Attempt-Id: 00000000000000aa"
RAW_REQUESTS = {
    "a length of 5000 digits": head("/look/1", _ATTEMPT, "Content-Length: " + "9" * 5000),
    "Expect with a body over the limit": head(
        "/look/1", _ATTEMPT, f"Content-Length: {2 * BODY}", "Expect: 100-continue"
    ),
    "a malformed chunk without a route": _chunked("/nothing/1") + b"no size\r\nx",
    "HEAD with a body over the limit": head(
        "/look/1", _ATTEMPT, f"Content-Length: {2 * BODY}", method="HEAD"
    ),
}


async def _misbehave(address, path, send, writers):
    with suppress(OSError, TimeoutError):
        # A small limit keeps the reader from buffering what the caller does not read.
        reader, writer = await asyncio.open_connection(address.host, address.port, limit=SMALL)
        writers.append(writer)
        async with asyncio.timeout(CROWD_TIME):
            await send(writer, path)
            await reader.read(1)


async def send_crowd(listen, count, crowd, path):
    """Start a crowd, wait until it has sent what it can, and return its open connections."""
    address = Address.parse(listen)
    writers = []
    await asyncio.gather(*(_misbehave(address, path, CROWDS[crowd], writers) for _ in range(count)))
    return writers


def memory_peak(pid):
    """Return the peak of the resident memory of a process, in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        peak = next(line for line in lines if line.startswith("VmHWM:"))
    return int(peak.split()[1]) / 1024
