"""The framers of both protocols agree with a plain reading line by line, however the bytes are cut into reads."""

from __future__ import annotations

from random import Random

import pytest

from bramblestile.memory.connections import Framer, MessageKind, MessageRun, ProtocolViolationError
from bramblestile.wire.lines import UPSTREAM_KINDS, LineFramer
from bramblestile.wire.nats import MAX_LINE_BYTES, PAYLOAD_VERBS, NatsFramer, announces_lame_duck

READ_BYTES = 8192  # no message in these tests is longer
MAX_PAYLOAD = 50
# fmt: off
NATS_PIECES = (
    b"PING\r\n", b"PING\n", b" ping \r\n", b"PONG\r\n", b"+OK\r\n", b"\r\n", b"\n", b"\r", b"PINGx\n",
    b"PINGS\r\n", b"x PING\r\n", b"INFO {}\r\n", b'INFO {"ldm":true}\r\n', b"\tinfo \r\n", b"PUB a 3\r\nabc\r\n",
    b"pub a 0\r\n\r\n", b"PUBS a 1\r\n", b"PUB a 9\r\nPING\r\nPI\r\n", b"HMSG a 1 2 12\r\n\nPING\nPUB a\n\r\n",
    b"PUB a 2\r\nabcdef", b"SUB a 1\r\n" * 40, b"PING\r\n" * 20, b"y" * 600 + b"\r\n",
)
NATS_VIOLATIONS = (
    b"PUB a x\r\n", b"PUB\r\n", b"PUB a 51\r\n", b"PUB a " + b"9" * 900 + b"\r\n", b"z" * 4097 + b"\n",
)
LINE_PIECES = (
    b"LOAD 3\r\n", b"LOAD\r\n", b"LOADS 4\r\n", b"BYE\r\n", b"BYE x0=1\r\n", b"MOVE\r\n", b" MOVE\r\n", b"x\r\n",
    b"\r\n", b"\n", b"LOAD 0.5 \n", b"x MOVE\r\n", b"move\r\n", b"MOVE", b"y" * 600 + b"\r\n",
)
# fmt: on


def expand(runs: list[MessageRun]) -> list[MessageKind]:
    return [run.kind for run in runs for _ in range(run.count)]


def read_in_pieces(framer: Framer, data: bytes, random: Random) -> tuple[int, list[MessageKind]]:
    """Feed the data in reads of random sizes, as a connection does; return how much passed, and the messages."""
    passed_total, kinds, buffer = 0, list[MessageKind](), b""
    while data:
        size = random.choice((1, 7, 100, READ_BYTES)) if len(buffer) < READ_BYTES else READ_BYTES
        buffer, data = buffer + data[:size], data[size:]
        passed, runs = framer.feed(memoryview(buffer))
        kinds += expand(runs)
        buffer = buffer[passed:]
        passed_total += passed
    return passed_total, kinds


def read_nats_lines(
    data: bytes, kinds: dict[bytes, MessageKind], max_payload: int | None
) -> tuple[int, list[MessageKind]]:
    """Return how much of the data is complete control lines and payloads, and the lines' kinds; the plain reading."""
    position, found = 0, list[MessageKind]()
    while (end := data.find(b"\n", position)) >= 0:
        if max_payload is not None and end - position > MAX_LINE_BYTES:
            raise ProtocolViolationError(b"")
        line, position = data[position : end + 1], end + 1
        words = line.split()
        word = words[0].upper() if words else b""
        if word in PAYLOAD_VERBS:
            sound = words[-1].isdigit() and len(words[-1]) < 10
            if max_payload is not None and not (sound and int(words[-1]) <= max_payload):
                raise ProtocolViolationError(b"")
            position = min(len(data), position + (int(words[-1]) + 2 if sound else 0))
        drains = word == b"INFO" and announces_lame_duck(line)
        found.append(MessageKind.DRAINING if drains else kinds.get(word, MessageKind.OTHER))
    return position, found


@pytest.mark.parametrize("seed", range(300))
def test_nats_messages_are_found_as_by_a_plain_reading(seed: int) -> None:
    random = Random(seed)
    kinds = {b"PING": MessageKind.QUERY} if seed % 2 else {b"PONG": MessageKind.RESPONSE}
    max_payload = MAX_PAYLOAD if seed % 2 else None
    pieces = [*NATS_PIECES, *(NATS_VIOLATIONS if seed % 5 == 0 else ())]
    data = b"".join(random.choices(pieces, k=random.randrange(1, 60)))
    try:
        expected = read_nats_lines(data, kinds, max_payload)
    except ProtocolViolationError:
        with pytest.raises(ProtocolViolationError):
            read_in_pieces(NatsFramer(kinds, max_payload), data, random)
        return
    assert read_in_pieces(NatsFramer(kinds, max_payload), data, random) == expected


@pytest.mark.parametrize("seed", range(100))
def test_lines_are_found_as_by_a_plain_reading(seed: int) -> None:
    random = Random(seed)
    data = b"".join(random.choices(LINE_PIECES, k=random.randrange(1, 60)))
    lines = data[: data.rfind(b"\n") + 1].split(b"\n")[:-1]
    expected = [UPSTREAM_KINDS.get(line.removesuffix(b"\r").partition(b" ")[0], MessageKind.RESPONSE) for line in lines]
    framer = LineFramer(UPSTREAM_KINDS, MessageKind.RESPONSE)
    assert read_in_pieces(framer, data, random) == (data.rfind(b"\n") + 1, expected)


def test_many_short_messages_of_one_kind_are_one_run() -> None:
    """Guards against: hundreds of connections, each with thousands of objects for one read, fill the memory."""
    for framer in (LineFramer(UPSTREAM_KINDS, MessageKind.RESPONSE), NatsFramer({b"PING": MessageKind.QUERY}, 100)):
        passed, runs = framer.feed(memoryview(b"\n" * READ_BYTES))
        assert passed == READ_BYTES and len(runs) <= 2 and sum(run.count for run in runs) <= READ_BYTES
    assert NatsFramer({b"PING": MessageKind.QUERY}).feed(memoryview(b"PING\r\n" * 9))[1] == [
        MessageRun(MessageKind.QUERY, 9)
    ]
