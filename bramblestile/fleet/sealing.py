"""Authenticated datagrams with replay protection. No sockets, no clock.

A seal is a keyed BLAKE2 MAC over the message and three numbers: the sender's epoch (one start of its process), the
receiver's epoch, and a counter that only rises. An opened datagram is thereby guaranteed to come from a holder of a
key, to be meant for this very process, so that nothing recorded before its start is accepted, and to be accepted once.
No clocks are compared.

A sender that does not know the receiver's epoch (on first contact, or after the receiver's restart) uses 0 or the old
one. The receiver answers with a seal around an empty message, which is no longer than the datagram it answers, and the
sender sends its message again. Without a key the seal is only a checksum; that is permitted on loopback only.
"""

from __future__ import annotations

import hmac
import struct
from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

MAGIC = b"bf1"  # format identifier: bramblestile fleet, version 1 of the seal
_HEADER = struct.Struct(">QQQ")  # sender's epoch, receiver's epoch, counter
_MAC_BYTES = 16
OVERHEAD_BYTES = len(MAGIC) + _MAC_BYTES + _HEADER.size
REPLAY_WINDOW = 256  # counters below the highest that are still accepted; later reordered datagrams are lost
MAX_SENDERS = 8192  # whose replay windows are kept: twice the maximum number of members


class SealError(Exception):
    """A datagram was rejected.

    The reason is one word and part of a counter's name. ``reply``, if it helps, is a seal that tells the sender this
    process's epoch.
    """

    def __init__(self, reason: str, reply: bytes | None = None) -> None:
        super().__init__(reason)
        self.reply = reply


class Sealer:
    """Seals and opens datagrams for one process.

    The first of ``keys`` seals, and all of them open, so that a key can be changed on one member after another.
    """

    def __init__(self, epoch: int, keys: Sequence[bytes]) -> None:
        self.epoch, self.keys = epoch, tuple(keys) or (b"",)
        self._counter = 0
        # By the sender's epoch: the highest counter, and a bit mask of the received ones below it.
        self._replay_windows: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def _mac(self, key: bytes, body: bytes | memoryview) -> bytes:
        return blake2b(body, key=key, digest_size=_MAC_BYTES).digest()

    def seal(self, message: bytes, receiver_epoch: int) -> bytes:
        """Return the datagram; ``receiver_epoch`` is 0 if unknown."""
        self._counter += 1
        body = _HEADER.pack(self.epoch, receiver_epoch, self._counter) + message
        return MAGIC + self._mac(self.keys[0], body) + body

    def open(self, datagram: bytes) -> tuple[int, bytes]:
        """Return the sender's epoch and the message; an empty message only announces that epoch.

        Raises:
            SealError: if the datagram is not authentic, is meant for another process, or was received before.
        """
        magic_bytes = len(MAGIC)
        if len(datagram) < OVERHEAD_BYTES or datagram[:magic_bytes] != MAGIC:
            raise SealError("foreign")
        mac, body = datagram[magic_bytes : magic_bytes + _MAC_BYTES], datagram[magic_bytes + _MAC_BYTES :]
        if not any(hmac.compare_digest(mac, self._mac(key, body)) for key in self.keys):
            raise SealError("unproven")
        sender_epoch, receiver_epoch, counter = _HEADER.unpack_from(body)
        message = body[_HEADER.size :]
        if receiver_epoch != self.epoch:
            # An empty message is never answered: otherwise two members could exchange their epochs for ever.
            raise SealError("elsewhere", self.seal(b"", sender_epoch) if message else None)
        if not self._accept_counter(sender_epoch, counter):
            raise SealError("again")
        return sender_epoch, message

    def _accept_counter(self, sender_epoch: int, counter: int) -> bool:
        """Record a counter; return False if it was seen before or is too old to tell."""
        highest, mask = self._replay_windows.get(sender_epoch, (0, 0))
        if counter > highest:
            shift = counter - highest
            mask = ((mask << shift) | 1) & ((1 << REPLAY_WINDOW) - 1) if shift < REPLAY_WINDOW else 1
            highest = counter
        else:
            bit = 1 << (highest - counter)
            if highest - counter >= REPLAY_WINDOW or mask & bit:
                return False
            mask |= bit
        self._replay_windows[sender_epoch] = highest, mask
        self._replay_windows.move_to_end(sender_epoch)
        if len(self._replay_windows) > MAX_SENDERS:
            self._replay_windows.popitem(last=False)
        return True
