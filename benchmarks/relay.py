"""A TCP relay on loopback that counts the bytes of one process's connections."""

import asyncio
import contextlib

__all__ = ["CountingRelay"]

CHUNK = 65536  # bytes


class CountingRelay:
    """Relays connections to the address `target` and counts them and their bytes.

    `sent` counts the bytes towards the target, `received` those that come back.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.sent = 0
        self.received = 0
        self.connections = 0
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port and return the address as host:port."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._pump(reader, target_writer, "sent"),
                self._pump(target_reader, writer, "received"),
            )

    async def _pump(self, reader, writer, counter):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                setattr(self, counter, getattr(self, counter) + len(data))
                writer.write(data)
                await writer.drain()
        writer.close()
