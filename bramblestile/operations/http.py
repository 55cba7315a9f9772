"""One call of HTTP/1.1 out of bytes, and its answer as bytes. No sockets, no time, no meaning of paths.

The parser takes bytes as they come, cut anywhere, and gives one call or one fault; what follows the call is not looked
at, as a connection carries one call.
"""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

MAX_HEAD_BYTES = 4096  # bytes: the calls' own heads take some 100
MAX_BODY_BYTES = 16384  # bytes: a plan of work for 1,000 machines; the other calls' bodies mean nothing
MAX_HEADER_FIELDS = 64
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
_TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """``path``: its segments, percent-decoded one by one, so that a coded slash splits no id."""

    method: str
    path: tuple[str, ...]
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class HttpResponse:
    status: int
    text: str
    allow: str = ""

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300


class HttpError(Exception):
    """What was said is no call; ``answer`` tells the caller why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.response = HttpResponse(status, text)


class RequestParser:
    """Bytes in, one call out. FaultError as soon as no bytes to come could make a call of it."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._call: HttpRequest | None = None
        self._body = bytearray()
        self._length = 0  # of the body
        self.wants_continue = False  # the caller waits for CONTINUE before it sends its body
        self.method = ""

    def feed(self, data: bytes | memoryview) -> HttpRequest | None:
        """The call once it is whole, its body included. What follows it is passed over."""
        if self._call is None:
            self._held += data
            end = self._head_end()
            if (len(self._held) if end is None else end) > MAX_HEAD_BYTES:
                raise HttpError(431, f"a head of more than {MAX_HEAD_BYTES} bytes")
            if end is None:
                return None
            head, self._body = bytes(self._held[:end]), self._held[end:]
            self._held = bytearray()
            self._call = self._parse(head)
        else:
            self._body += data
        if len(self._body) < self._length:
            return None
        self.wants_continue = False
        return HttpRequest(self._call.method, self._call.path, bytes(self._body[: self._length]))

    def _head_end(self) -> int | None:
        """A bare LF ends a line too; empty lines before the request line are passed over, as RFC 9112 asks."""
        while self._held[:2] == b"\r\n" or self._held[:1] == b"\n":
            del self._held[: 2 if self._held[:1] == b"\r" else 1]
        found = [at + len(mark) for mark in (b"\r\n\r\n", b"\n\n", b"\n\r\n") if (at := self._held.find(mark)) >= 0]
        return min(found) if found else None

    def _parse(self, head: bytes) -> HttpRequest:
        first, *rest = [line.removesuffix(b"\r") for line in head.split(b"\n")]
        fields = [line for line in rest if line]
        words = first.split(b" ")
        if len(words) != 3 or not words[0] or not all(c in _TOKEN for c in words[0]):
            raise HttpError(400, "the first line is not METHOD PATH HTTP/1.1")
        if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            known = words[2].startswith(b"HTTP/")
            raise HttpError(505 if known else 400, "HTTP/1.1 is spoken here")
        if len(fields) > MAX_HEADER_FIELDS:
            raise HttpError(431, f"more than {MAX_HEADER_FIELDS} fields")
        self.method = words[0].decode("ascii")
        lengths: set[bytes] = set()
        for line in fields:
            name, colon, value = line.partition(b":")
            if not colon or not name or not all(c in _TOKEN for c in name):
                raise HttpError(400, "a field is not NAME: VALUE")
            name, value = name.lower(), value.strip(b" \t")
            if name == b"content-length":
                lengths.add(value)
            elif name == b"transfer-encoding":
                raise HttpError(501, "a body comes with its Content-Length here")
            elif name == b"expect":
                if value.lower() != b"100-continue":
                    raise HttpError(417, "only 100-continue is expected here")
                self.wants_continue = words[2] == b"HTTP/1.1"
        if len(lengths) > 1 or any(not v.isdigit() for v in lengths):
            raise HttpError(400, "Content-Length is not one number")
        for value in lengths:
            if len(value) > 9 or int(value) > MAX_BODY_BYTES:
                raise HttpError(413, f"a body of more than {MAX_BODY_BYTES} bytes")
            self._length = int(value)
        return HttpRequest(self.method, _segments(words[1]))


def _segments(target: bytes) -> tuple[str, ...]:
    """Of ``/a/b?c`` or ``http://host/a/b``; the query means nothing here."""
    if target.lower().startswith(b"http://"):
        target = b"/" + target[7:].partition(b"/")[2]
    path = target.partition(b"?")[0].partition(b"#")[0]
    if not path.startswith(b"/"):
        raise HttpError(400, "the path does not begin with /")
    parts = []
    for part in path[1:].split(b"/"):
        for at in [n for n, c in enumerate(part) if c == ord("%")]:
            if len(part) < at + 3 or any(c not in b"0123456789abcdefABCDEF" for c in part[at + 1 : at + 3]):
                raise HttpError(400, "a broken percent-coding in the path")
        try:
            parts.append(unquote_to_bytes(part).decode())
        except UnicodeDecodeError:
            raise HttpError(400, "the path is not UTF-8") from None
    return tuple(parts)


def encode_response(answer: HttpResponse, method: str = "") -> bytes:
    """The answer's bytes; a HEAD's has no body but tells its length."""
    body = answer.text.encode() + b"\n"
    allow = f"Allow: {answer.allow}\r\n" if answer.allow else ""
    head = (
        f"HTTP/1.1 {answer.status} {REASON_PHRASES[answer.status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n{allow}Cache-Control: no-store\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + (b"" if method == "HEAD" else body)
