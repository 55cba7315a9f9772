"""One end of a TCP connection between a process of the program and a stand-in, with the faults of its link.

A stream's bytes are sent again until they arrive: a link that loses everything holds them up, one that delays delays
them in order, and a reset ends both ends at once. It passes for the asyncio streams that it stands on.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from bramblestile.lab.faults import Links

STALLED = 0.02  # seconds between two looks at a link that is silent


class Stream:
    """``near``: the stand-in; ``far``: the process of the program."""

    def __init__(
        self, links: Links, near: str, far: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.near, self.far = near, far
        self._links, self._reader, self._writer = links, reader, writer
        self._out: asyncio.Queue[bytes] = asyncio.Queue(64)
        self._task = asyncio.get_running_loop().create_task(self._send())

    @property
    def transport(self) -> asyncio.Transport:
        return self._writer.transport  # type: ignore[return-value]

    async def _pass(self, source: str, target: str) -> None:
        """Until what was sent has arrived."""
        while not (copies := self._links.copies(source, target)):
            await asyncio.sleep(STALLED)
        if after := min(copies).total_seconds():
            await asyncio.sleep(after)

    async def readline(self) -> bytes:
        line = await self._reader.readline()
        await self._pass(self.far, self.near)
        return line

    async def readuntil(self, separator: bytes) -> bytes:
        said = await self._reader.readuntil(separator)
        await self._pass(self.far, self.near)
        return said

    def write(self, data: bytes) -> None:
        try:
            self._out.put_nowait(data)
        except asyncio.QueueFull:
            self.transport.abort()  # nobody reads so far behind

    async def _send(self) -> None:
        with suppress(ConnectionError, RuntimeError):
            while data := await self._out.get():
                await self._pass(self.near, self.far)
                self._writer.write(data)
                await self._writer.drain()
        self._writer.close()

    async def drain(self) -> None:
        await self._writer.drain()

    def close(self) -> None:
        """After what is still on its way."""
        if self.transport.is_closing():
            self._task.cancel()
        else:
            self.write(b"")

    def reset(self) -> None:
        self._task.cancel()
        self.transport.abort()
