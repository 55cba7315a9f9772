"""A TCP connection between a process of the program and a stand-in, with the faults of the link between them.

TCP sends lost bytes again until they arrive: a link that loses everything stalls the stream, one that delays delays its
bytes in order, and a reset closes both ends at once. The class has the interface of the asyncio streams that it wraps.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from bramblestile.lab.faults import LinkFaults

RETRY_INTERVAL_S = 0.02  # between two attempts to get through a link that loses everything


class FaultyStream:
    """The stand-in's end of a connection to a process; the names identify both ends of the link."""

    def __init__(
        self,
        links: LinkFaults,
        stand_in: str,
        process: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.stand_in, self.process = stand_in, process
        self._links, self._reader, self._writer = links, reader, writer
        self._out: asyncio.Queue[bytes] = asyncio.Queue(64)
        self._task = asyncio.get_running_loop().create_task(self._send())

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of the connection."""
        return self._writer.transport  # type: ignore[return-value]

    async def _cross(self, source: str, target: str) -> None:
        """Wait until bytes sent now have crossed the link."""
        while not (delivery_delays := self._links.delivery_delays(source, target)):
            await asyncio.sleep(RETRY_INTERVAL_S)
        if delay := min(delivery_delays).total_seconds():
            await asyncio.sleep(delay)

    async def readline(self) -> bytes:
        """Read a line, as ``asyncio.StreamReader.readline`` does."""
        line = await self._reader.readline()
        await self._cross(self.process, self.stand_in)
        return line

    async def readuntil(self, separator: bytes) -> bytes:
        """Read up to a separator, as ``asyncio.StreamReader.readuntil`` does."""
        data = await self._reader.readuntil(separator)
        await self._cross(self.process, self.stand_in)
        return data

    def write(self, data: bytes) -> None:
        """Queue data to be sent; the connection is aborted when the queue is full."""
        try:
            self._out.put_nowait(data)
        except asyncio.QueueFull:
            self.transport.abort()  # the process does not read

    async def _send(self) -> None:
        with suppress(ConnectionError, RuntimeError):
            while data := await self._out.get():
                await self._cross(self.stand_in, self.process)
                self._writer.write(data)
                await self._writer.drain()
        self._writer.close()

    async def drain(self) -> None:
        """Wait until the transport accepts more data."""
        await self._writer.drain()

    def close(self) -> None:
        """Close the connection after the queued data has been sent."""
        if self.transport.is_closing():
            self._task.cancel()
        else:
            self.write(b"")

    def reset(self) -> None:
        """Abort the connection and drop the queued data."""
        self._task.cancel()
        self.transport.abort()
