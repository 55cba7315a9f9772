"""Parses one HTTP/1.1 request and encodes its response. No I/O and no clock.

The parser accepts bytes in pieces of any size and returns one request or raises one error. A connection carries one
request; bytes after it are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

MAX_HEAD_BYTES = 4096  # heads of management calls take about 100 bytes
MAX_BODY_BYTES = 16384  # a maintenance plan for 1,000 machines; other calls ignore their body
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
_TOKEN_CHARACTERS = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """One request. ``path`` holds its segments, decoded one by one: an encoded slash belongs to a segment."""

    method: str
    path: tuple[str, ...]
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """One response with a text body; ``allow`` is the value of the Allow header, which is left out if empty."""

    status: int
    text: str
    allow: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class HttpError(Exception):
    """The input is not a valid request; ``response`` is the error response for the client."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.response = HttpResponse(status, text)


class RequestParser:
    """Incremental parser of one request.

    Raises HttpError as soon as no further bytes could complete a valid request. ``method`` is empty until the request
    line is parsed.
    """

    def __init__(self) -> None:
        self._head = bytearray()
        self._request: HttpRequest | None = None
        self._body = bytearray()
        self._content_length = 0
        self.wants_continue = False  # the client waits for CONTINUE_RESPONSE before it sends the body
        self.method = ""

    def feed(self, data: bytes | memoryview) -> HttpRequest | None:
        """Add received bytes; return the request once it is complete with its body. Bytes after it are ignored."""
        if self._request is None:
            self._head += data
            end = self._find_head_end()
            if (len(self._head) if end is None else end) > MAX_HEAD_BYTES:
                raise HttpError(431, f"a head of more than {MAX_HEAD_BYTES} bytes")
            if end is None:
                return None
            head, self._body = bytes(self._head[:end]), self._head[end:]
            self._head = bytearray()
            self._request = self._parse_head(head)
        else:
            self._body += data
        if len(self._body) < self._content_length:
            return None
        self.wants_continue = False
        return HttpRequest(self._request.method, self._request.path, bytes(self._body[: self._content_length]))

    def _find_head_end(self) -> int | None:
        """Return the length of the head with its blank line, or None if it is incomplete.

        Empty lines before the request line are dropped and a bare LF ends a line too (RFC 9112, section 2.2).
        """
        while self._head[:2] == b"\r\n" or self._head[:1] == b"\n":
            del self._head[: 2 if self._head[:1] == b"\r" else 1]
        ends = [
            at + len(separator)
            for separator in (b"\r\n\r\n", b"\n\n", b"\n\r\n")
            if (at := self._head.find(separator)) >= 0
        ]
        return min(ends) if ends else None

    def _parse_head(self, head: bytes) -> HttpRequest:
        request_line, *header_lines = [line.removesuffix(b"\r") for line in head.split(b"\n")]
        fields = [line for line in header_lines if line]
        words = request_line.split(b" ")
        if len(words) != 3 or not words[0] or not all(c in _TOKEN_CHARACTERS for c in words[0]):
            raise HttpError(400, "the first line is not METHOD PATH HTTP/1.1")
        if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            is_http = words[2].startswith(b"HTTP/")
            raise HttpError(505 if is_http else 400, "HTTP/1.1 is spoken here")
        if len(fields) > MAX_HEADER_FIELDS:
            raise HttpError(431, f"more than {MAX_HEADER_FIELDS} fields")
        self.method = words[0].decode("ascii")
        lengths: set[bytes] = set()
        for line in fields:
            name, colon, value = line.partition(b":")
            if not colon or not name or not all(c in _TOKEN_CHARACTERS for c in name):
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
            self._content_length = int(value)
        return HttpRequest(self.method, _path_segments(words[1]))


def _path_segments(target: bytes) -> tuple[str, ...]:
    """Return the decoded segments of ``/a/b?c`` or ``http://host/a/b``; a query is ignored."""
    if target.lower().startswith(b"http://"):
        target = b"/" + target[7:].partition(b"/")[2]
    path = target.partition(b"?")[0].partition(b"#")[0]
    if not path.startswith(b"/"):
        raise HttpError(400, "the path does not begin with /")
    segments = []
    for segment in path[1:].split(b"/"):
        for at in [n for n, c in enumerate(segment) if c == ord("%")]:
            if len(segment) < at + 3 or any(c not in b"0123456789abcdefABCDEF" for c in segment[at + 1 : at + 3]):
                raise HttpError(400, "a broken percent-coding in the path")
        try:
            segments.append(unquote_to_bytes(segment).decode())
        except UnicodeDecodeError:
            raise HttpError(400, "the path is not UTF-8") from None
    return tuple(segments)


def encode_response(response: HttpResponse, method: str = "") -> bytes:
    """Return the bytes of a response. The response to a HEAD request has no body but the body's Content-Length."""
    body = response.text.encode() + b"\n"
    allow = f"Allow: {response.allow}\r\n" if response.allow else ""
    head = (
        f"HTTP/1.1 {response.status} {REASON_PHRASES[response.status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n{allow}Cache-Control: no-store\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + (b"" if method == "HEAD" else body)
