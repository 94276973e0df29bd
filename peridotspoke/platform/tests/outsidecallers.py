"""Crowds of callers outside the limits, run as a process of their own.

``python -m peridotspoke.platform.tests.outsidecallers KIND HOST PORT [CONNECTIONS]``
opens the connections of one crowd, sends what the crowd sends, prints ``sent``, and
keeps the connections open until its standard input is closed.
"""

import asyncio
import contextlib
import sys

__all__ = ["CROWDS"]

LARGEST_BODY = 262_144  # bytes, the configuration's maximum
SHORT_OF_END = 44  # bytes that a body or a chunked body still lacks
POST = b"POST /q/%016x HTTP/1.1\r\nHost: jobs.example\r\n"
SEND_LIMIT = 8.0  # seconds for which a connection that has no end is sent on
STEP = 16_384  # bytes sent at once to connections that have no end


async def _send_slowly(writer, data, size):
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()


async def _send_endless_head(writer, number):
    """Send header lines below the limits of each line, without an end."""
    writer.write(POST % number)
    for line in range(120):
        writer.write(b"X-Line-%d: " % line + b"a" * 8000 + b"\r\n")
        await writer.drain()


async def _send_oversized_head(writer, number):
    """Send a header line above the limit, and some more after it."""
    writer.write(POST % number + b"X-Long: ")
    await _send_slowly(writer, b"a" * 200_000, STEP)


async def _send_head_bytes(writer, number):
    """Send the beginning of a head, a byte at a time."""
    for byte in (POST % number)[:40]:
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0.02)


async def _send_empty_lines(writer, number):
    """Send empty lines before a request that never comes."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SEND_LIMIT):
            for _ in range(256):
                writer.write(b"\r\n" * (STEP // 2))
                await writer.drain()


async def _send_whole_body(writer, number):
    """Send a body of the largest size, but for its last bytes."""
    writer.write(POST % number + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY)
    writer.write(b"a" * (LARGEST_BODY - SHORT_OF_END))
    await writer.drain()


async def _send_body_pieces(writer, number):
    """Send the same body in pieces, one at a time over all connections."""
    writer.write(POST % number + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY)
    data = b"a" * (LARGEST_BODY - SHORT_OF_END)
    for start in range(0, len(data), 8192):
        writer.write(data[start : start + 8192])
        await writer.drain()
        await asyncio.sleep(0.01)


async def _send_large_chunks(writer, number):
    """Send a chunked body of the largest size without its end."""
    writer.write(POST % number + b"Transfer-Encoding: chunked\r\n\r\n")
    size = 32_768
    for _ in range(LARGEST_BODY // size):
        writer.write(b"%x\r\n" % size + b"a" * size + b"\r\n")
        await writer.drain()


async def _send_small_chunks(writer, number):
    """Send a chunked body in chunks of one byte without its end."""
    writer.write(POST % number + b"Transfer-Encoding: chunked\r\n\r\n")
    await _send_slowly(writer, b"1\r\na\r\n" * 100_000, 6 * 2000)


async def _send_trailers(writer, number):
    """Send a chunked body of one byte, and trailer fields without an end."""
    writer.write(POST % number + b"Transfer-Encoding: chunked\r\n\r\n")
    writer.write(b"1\r\na\r\n0\r\n")
    for line in range(120):
        writer.write(b"X-Line-%d: " % line + b"a" * 8000 + b"\r\n")
        await writer.drain()


async def _send_half_closed_body(writer, number):
    """Send a body without its last bytes, and end the sending direction."""
    await _send_whole_body(writer, number)
    writer.write_eof()
    await asyncio.sleep(0.5)


async def _send_body(writer, number):
    """Send a whole body of the largest size."""
    writer.write(POST % number + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY)
    writer.write(b"a" * LARGEST_BODY)
    await writer.drain()


async def _send_job(writer, number, steps):
    body = b'{"spec":"s","steps":[' + b",".join(steps) + b"]}"
    writer.write(POST % (number + 100) + b"Content-Length: %d\r\n\r\n" % len(body))
    writer.write(body)
    await writer.drain()


async def _send_job_of_many_steps(writer, number):
    """Send a whole job of almost the largest size, with far too many steps."""
    await _send_job(writer, number, [b'{"count":1}'] * 20_000)


async def _send_job_of_many_faults(writer, number):
    """Send a whole job of almost the largest size, each step with several faults."""
    step = b'{"count":0,"cpu":-1,"mayMiss":-1,"after":[9]}'
    await _send_job(writer, number, [step] * 5_000)


async def _send_large_job(writer, number):
    """Send a job within all limits of almost the largest size, of few tasks."""
    step = b'{"count":1,"cpu":1,"image":"%s"}' % (b"i" * 3_900)
    await _send_job(writer, number, [step] * 64)


async def _send_body_for_no_queue(writer, number):
    """Send a whole body of the largest size to a path of no queue."""
    head = (POST % number).replace(b"/q/", b"/none/")
    writer.write(head + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY)
    writer.write(b"a" * LARGEST_BODY)
    await writer.drain()


async def _send_nothing(writer, number):
    """Open a connection and leave it."""


async def _send_requests(writer, number):
    """Send whole requests one after another, and read none of the responses."""
    request = b"GET /q/%016x HTTP/1.1\r\nHost: jobs.example\r\nX: %s\r\n\r\n"
    data = request % (number, b"a" * 4000) * 4
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SEND_LIMIT):
            for _ in range(1000):
                writer.write(data)
                await writer.drain()


async def _send_posts(writer, number):
    """Send whole submissions one after another, and read none of the responses."""
    body = b"a" * 30_000
    request = POST % number + b"Content-Length: %d\r\n\r\n" % len(body) + body
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SEND_LIMIT):
            for _ in range(200):
                writer.write(request)
                await writer.drain()


async def _send_malformed_head(writer, number):
    """Send a head that isn't one."""
    writer.write(b"POST /q/%016x HTTP/1.1\r\nBad Name: 1\r\n\r\n" % number)
    await writer.drain()


async def _leave_in_body(writer, number):
    """Disconnect in the middle of a body."""
    writer.write(POST % number + b"Content-Length: 1000\r\n\r\n" + b"a" * 500)
    await writer.drain()
    await asyncio.sleep(0.2)
    writer.transport.abort()


ROUNDS = {
    "left-bodies": 5,
    "half-closed-bodies": 3,
}  # connections after one another; 1 for other crowds
# The connections at once of each crowd, and what each of them sends.
CROWDS = {
    "endless-heads": (200, _send_endless_head),
    "oversized-heads": (200, _send_oversized_head),
    "head-bytes": (200, _send_head_bytes),
    "empty-lines": (200, _send_empty_lines),
    "whole-bodies": (200, _send_whole_body),
    "body-pieces": (200, _send_body_pieces),
    "large-chunks": (200, _send_large_chunks),
    "small-chunks": (80, _send_small_chunks),
    "trailers": (200, _send_trailers),
    "half-closed-bodies": (200, _send_half_closed_body),
    "bodies": (200, _send_body),
    "jobs-of-many-steps": (200, _send_job_of_many_steps),
    "jobs-of-many-faults": (200, _send_job_of_many_faults),
    "large-jobs": (200, _send_large_job),
    "bodies-for-no-queue": (200, _send_body_for_no_queue),
    "left-connections": (200, _send_nothing),
    "unread-responses": (200, _send_requests),
    "pipelined-bodies": (200, _send_posts),
    "malformed-heads": (200, _send_malformed_head),
    "left-bodies": (200, _leave_in_body),
}


async def _run_caller(kind, host, port, number, open_writers):
    for _ in range(ROUNDS.get(kind, 1)):
        with contextlib.suppress(OSError):
            # Responses aren't read: the reader's limit stops its transport.
            _, writer = await asyncio.open_connection(host, port, limit=1)
            open_writers.append(writer)
            await CROWDS[kind][1](writer, number)


async def _main(kind, host, port, connections=None):
    writers = []
    callers = [
        _run_caller(kind, host, int(port), number, writers)
        for number in range(int(connections or CROWDS[kind][0]))
    ]
    await asyncio.gather(*callers)
    print("sent", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
