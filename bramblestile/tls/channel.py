"""A TLS connection as a channel: OpenSSL between two memory buffers, the socket beside it.

Why not ``ssl.SSLSocket``: a standing connection is read by one thread and written by another, an OpenSSL object may
be used by one at a time, and a blocking read would hold it for as long as the peer is silent. Here no lock is held over
a socket call: ``_lock`` guards the object for the microseconds of a record, ``_sending`` keeps records in their order
on the wire. A read that has to write (a key update) leaves its bytes to whoever writes; if nobody does, it sends them
itself without waiting.

What a hostile host can make us hold: ``MOST_HANDSHAKE`` bytes before it has proved itself, one record and
``MOST_WITHOUT_DATA`` bytes of what carries no data (tickets, key updates) after.
"""

from __future__ import annotations

import contextlib
import socket
import ssl
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.sockets import Channel, TruncatedError
from bramblestile.tls import certificates
from bramblestile.tls.verification import CertificateInfo

READ = 16640  # bytes asked of the socket at once: one whole record (RFC 8446, 5.2: 2^14 + 256)
PIECE = 1 << 16  # bytes encrypted at once: what waits for a slow peer beside the data itself
MOST_HANDSHAKE = 1 << 17  # bytes from the host until the handshake is done: ten certificates of 8 KiB and some
MAX_BYTES_WITHOUT_DATA = 1 << 18  # bytes from the host in a row that bring no data: a thousand tickets
_RECORDS = frozenset((20, 21, 22, 23))  # the types that a TLS record may begin with
ChainVerifier = Callable[[Sequence[CertificateInfo]], None]  # raises what ends the handshake


class HandshakeError(sockets.DialError):
    """No handshake: ``text`` tells what the host did. Nothing ran there."""


class CertificateVerificationError(sockets.DialError):
    """OpenSSL refuses the host's certificate: its number, its words, and the chain that was shown."""

    def __init__(self, code: int, words: str, chain: Sequence[CertificateInfo]) -> None:
        super().__init__(words)
        self.code, self.words, self.chain = code, words, chain


class FloodError(ConnectionError):
    """The host sends on and on, and none of it is data."""


class TlsChannel(Channel):
    def __init__(
        self, sock: socket.socket, context: ssl.SSLContext, server_name: str | None, session: Any = None
    ) -> None:
        self._sock = sock
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._ssl = context.wrap_bio(self._in, self._out, server_hostname=server_name, session=session)
        self._lock = threading.Lock()
        self._sending = threading.Lock()
        self._blocking = False
        self._dry = False  # all that has come in has been decrypted
        self._ahead = b""  # data that is to be read before any other
        self._late = b""  # records that a reader could not send at once
        self._ended = False  # by us: what the socket says then proves nothing of the peer
        self._eof = False  # the socket has ended; whether in order, the last record tells
        self._without_data = 0
        self.on_first_data: Callable[[TlsChannel], None] | None = None  # called once, with the first data read
        self.chain: Sequence[CertificateInfo] = ()

    # The handshake, by one thread, before anyone else knows the channel.

    def handshake(self, until: timedelta, verify_chain: ChainVerifier) -> None:
        """Returns once the host has proved itself to OpenSSL and to ``judge``. Our last flight, and with TLS 1.3 our
        own certificate, leaves only then. DialError, TimeoutError, or what the judge raises."""
        fed = 0
        while not self._step(verify_chain):
            self._put_out(self._out.read())
            left = until - now()
            if left <= ZERO_DURATION or sockets.wait((self._sock, sockets.READABLE), timeout=left) is None:
                raise HandshakeError(
                    "tls: no end of the handshake in time" if fed else "tls: no answer to the ClientHello"
                )
            try:
                got = self._sock.recv(READ)
            except OSError as error:
                raise HandshakeError(f"tls: broke in the handshake: {error.strerror or error}") from None
            if not got:
                raise HandshakeError("tls: the host ended the connection in the handshake")
            if not fed and got[0] not in _RECORDS:
                raise HandshakeError(f"tls: the host answers in plain text: {got[:16]!r}")
            fed += len(got)
            if fed > MOST_HANDSHAKE:
                raise HandshakeError(f"tls: over {MOST_HANDSHAKE} bytes of handshake")
            self._in.write(got)
        self._put_out(self._out.read())

    def _step(self, verify_chain: ChainVerifier) -> bool:
        try:
            self._ssl.do_handshake()
        except ssl.SSLWantReadError:
            return False
        except ssl.SSLCertVerificationError as error:
            chain: Sequence[CertificateInfo] = ()
            with contextlib.suppress(certificates.CertificateParseError):
                chain = self._shown()
            self._alert()
            raise CertificateVerificationError(error.verify_code, error.verify_message, chain) from None
        except ssl.SSLError as error:
            self._alert()
            raise HandshakeError(f"tls: {_reason(error)}") from None
        try:
            if not self._ssl.session_reused:
                self.chain = self._shown()
            verify_chain(self.chain)
        except certificates.CertificateParseError as error:
            raise HandshakeError(f"tls: {error}") from None
        return True

    def _shown(self) -> Sequence[CertificateInfo]:
        """The chain as the host sent it, the leaf first. Public from Python 3.13 on; before, one step deeper."""
        of = self._ssl if hasattr(self._ssl, "get_unverified_chain") else self._ssl._sslobj  # type: ignore[attr-defined]
        shown = of.get_unverified_chain() or ()
        return certificates.parse_chain([c if isinstance(c, bytes) else c.public_bytes(2) for c in shown])  # 2: DER

    def _alert(self) -> None:
        """Tells the host why, if it still reads."""
        with contextlib.suppress(OSError):
            self._put_out(self._out.read())

    @property
    def session_reused(self) -> bool:
        return bool(self._ssl.session_reused)

    def session(self) -> Any:
        """What a later handshake may resume; None where the host gave nothing to that end."""
        with self._lock:
            made = self._ssl.session
        return made if made is not None and (made.has_ticket or (made.id and self.version == "TLSv1.2")) else None

    @property
    def version(self) -> str:
        return self._ssl.version() or "?"

    @property
    def cipher(self) -> str:
        return (self._ssl.cipher() or ("?",))[0]

    def push_back(self, data: bytes) -> None:
        """Data that came before TLS began (a NATS host's INFO) is read first."""
        self._ahead = data

    # Reading, by one thread.

    def fileno(self) -> int:
        return self._sock.fileno()

    def has_buffered_data(self) -> bool:
        return bool(self._ahead) or not self._dry

    def setblocking(self, flag: bool) -> None:
        self._blocking = flag

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        view = memoryview(buffer)
        while True:
            with self._lock:
                got = self._decrypt(view)
            if self._out.pending:
                self._send_without_waiting()
            if got is not None:
                if got and self.on_first_data is not None:
                    heard, self.on_first_data = self.on_first_data, None
                    heard(self)
                return got
            self._fetch()

    def _decrypt(self, view: memoryview) -> int | None:
        """With the lock held. None: more has to come in first; 0: the end, with its word or by us."""
        if self._ahead:
            size = min(len(view), len(self._ahead))
            view[:size] = self._ahead[:size]
            self._ahead = self._ahead[size:]
            return size
        try:
            got = self._ssl.read(len(view), view)
        except ssl.SSLWantReadError:
            self._dry = True
            if self._eof and not self._ended:
                raise TruncatedError("tls: ended without close_notify") from None
            return 0 if self._ended else None
        except ssl.SSLZeroReturnError:
            return 0
        except ssl.SSLError as error:
            if self._ended:
                return 0
            raise ConnectionError(f"tls: {_reason(error)}") from None
        assert isinstance(got, int)
        self._without_data = 0
        return got

    def _fetch(self) -> None:
        """Takes what the socket has, and waits for it where reading may wait."""
        got = self._sock.recv(READ, 0 if self._blocking else socket.MSG_DONTWAIT)
        with self._lock:
            self._dry = False
            if not got:
                # Not told to OpenSSL: it would answer a bare end with an alert, where a reset may have to follow.
                self._eof = True
                return
            self._without_data += len(got)
            if self._without_data > MAX_BYTES_WITHOUT_DATA:
                raise FloodError(f"tls: {self._without_data} bytes without data")
            self._in.write(got)

    # Writing.

    def send_all(self, parts: Sequence[bytes | memoryview]) -> None:
        data = memoryview(parts[0] if len(parts) == 1 else b"".join(parts))
        with self._sending:
            for at in range(0, len(data), PIECE):
                with self._lock:
                    try:
                        self._ssl.write(data[at : at + PIECE])
                    except ssl.SSLError as error:
                        raise ConnectionError(f"tls: {_reason(error)}") from None
                self._send_pending()
        if self._out.pending:  # a reader's, which found us sending
            self._send_without_waiting()

    def _send_pending(self) -> None:
        with self._lock:
            data = self._take_out()
        self._put_out(data)

    def _take_out(self) -> bytes:
        """With both locks held: all records that wait, in their order."""
        data, self._late = self._late + self._out.read(), b""
        return data

    def _put_out(self, data: bytes) -> None:
        if data:
            sockets.write(self._sock, [data])

    def _send_without_waiting(self) -> None:
        """What nobody has asked for (an answer to a key update) must not hold up the reader: what does not go now goes
        with the next data. Whoever holds ``_sending`` looks again after letting go, so nothing is forgotten."""
        while self._out.pending and self._sending.acquire(blocking=False):
            try:
                with self._lock:
                    data = self._take_out()
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT) if data else 0
                except BlockingIOError:
                    sent = 0
                except OSError:
                    return  # the reader or the next writer meets it too
                self._late = data[sent:]
                if self._late:
                    return
            finally:
                self._sending.release()

    # The end, by any thread.

    def shutdown(self, how: int) -> None:
        if how != socket.SHUT_RD:
            self._say_end()
        if how != socket.SHUT_WR:
            self._ended = True
        self._sock.shutdown(how)

    def _say_end(self) -> None:
        """close_notify, if nobody is in the middle of a write: then the peer sees a cut, as it is one."""
        if not self._sending.acquire(blocking=False):
            return
        try:
            with self._lock:
                self._save_unread()
                # It would also read, which is another's affair; there is nothing left to read, so it cannot.
                with contextlib.suppress(ssl.SSLError, ValueError):
                    self._ssl.unwrap()
                data = self._take_out()
            with contextlib.suppress(OSError):
                self._sock.send(data, socket.MSG_DONTWAIT)
        finally:
            self._sending.release()

    def _save_unread(self) -> None:
        with contextlib.suppress(ssl.SSLError):
            while self._in.pending:
                more = self._ssl.read(READ)
                if not more:
                    return
                self._ahead += more

    def terminate(self, reset: bool, linger: timedelta) -> None:
        self._ended = True
        if not reset:
            self._say_end()
        sockets.close(self._sock, reset, linger)


def _reason(error: ssl.SSLError) -> str:
    """OpenSSL's word for it, or whatever there is."""
    return (error.reason or str(error)).lower().replace("_", " ")
