"""Which datagrams are a member's own, said to this process, and said for the first time. No sockets, no time.

A seal is a keyed BLAKE2 of the message with three numbers: the sender's life (one start of its process), the
receiver's life, and a count that only rises. Guaranteed to whoever opens one: its sender had a key; it meant this very
process, so nothing recorded before this start opens; and it opens once. No clocks are compared.

Who does not know the receiver's life yet (a first word, or the receiver has started anew) says 0 or the old one. It is
told the right one by a seal without a message, which is no longer than what it answers, and says it again. Without a
key the seal is a checksum; that is allowed on loopback alone.
"""

from __future__ import annotations

import hmac
import struct
from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

MARK = b"bf1"  # bramblestile's fleet, first form of the seal
_NUMBERS = struct.Struct(">QQQ")
_MAC = 16
OVERHEAD = len(MARK) + _MAC + _NUMBERS.size
WINDOW = 256  # counts below the highest in which one that comes late still opens; a link that reorders more loses it
MOST_LIVES = 8192  # senders whose counts are remembered, twice as many as there are members at most


class SealError(Exception):
    """It is not opened; ``reply`` is the seal that tells the sender our life, where it would help."""

    def __init__(self, why: str, reply: bytes | None = None) -> None:
        super().__init__(why)
        self.reply = reply


class Seal:
    """``keys``: the first one seals, all of them open, so that a key can be changed one member after the other."""

    def __init__(self, life: int, keys: Sequence[bytes]) -> None:
        self.life, self.keys = life, tuple(keys) or (b"",)
        self._count = 0
        self._seen: OrderedDict[int, tuple[int, int]] = OrderedDict()  # life: highest count, which below it were seen

    def _mac(self, key: bytes, rest: bytes | memoryview) -> bytes:
        return blake2b(rest, key=key, digest_size=_MAC).digest()

    def close(self, message: bytes, to: int) -> bytes:
        """``to``: the receiver's life as far as it is known, else 0."""
        self._count += 1
        rest = _NUMBERS.pack(self.life, to, self._count) + message
        return MARK + self._mac(self.keys[0], rest) + rest

    def open(self, datagram: bytes) -> tuple[int, bytes]:
        """The sender's life, and its message; an empty one only tells that life. SealError otherwise."""
        head = len(MARK)
        if len(datagram) < OVERHEAD or datagram[:head] != MARK:
            raise SealError("foreign")
        mac, rest = datagram[head : head + _MAC], datagram[head + _MAC :]
        if not any(hmac.compare_digest(mac, self._mac(key, rest)) for key in self.keys):
            raise SealError("unproven")
        sender, to, count = _NUMBERS.unpack_from(rest)
        message = rest[_NUMBERS.size :]
        if to != self.life:
            # One without a message is never answered: two members could tell each other their lives for ever.
            raise SealError("elsewhere", self.close(b"", sender) if message else None)
        if not self._is_first(sender, count):
            raise SealError("again")
        return sender, message

    def _is_first(self, sender: int, count: int) -> bool:
        top, mask = self._seen.get(sender, (0, 0))
        if count > top:
            shift = count - top
            mask = ((mask << shift) | 1) & ((1 << WINDOW) - 1) if shift < WINDOW else 1
            top = count
        else:
            bit = 1 << (top - count)
            if top - count >= WINDOW or mask & bit:
                return False
            mask |= bit
        self._seen[sender] = top, mask
        self._seen.move_to_end(sender)
        if len(self._seen) > MOST_LIVES:
            self._seen.popitem(last=False)
        return True
