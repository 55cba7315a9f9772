"""A TLS connection as a channel: an OpenSSL object between two memory buffers, beside a socket.

``ssl.SSLSocket`` does not fit: a proxied connection is read by one thread and written by another, an OpenSSL object may
be used by one thread at a time, and a blocking read would hold it for as long as the peer is silent. Here ``_lock``
guards the OpenSSL object for the microseconds that a record takes, and is never held during a socket call;
``_send_lock`` keeps records in order on the wire. If a read produces output, such as the answer to a key update, that
output goes out with the next write; if no write is in progress, the reader sends it itself without blocking.

Limits on the memory that a hostile host can occupy: ``MAX_HANDSHAKE_BYTES`` before it is verified; after that, one
record and ``MAX_BYTES_WITHOUT_DATA`` of records that carry no data (session tickets, key updates).
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
from bramblestile.clock import now
from bramblestile.sockets import Channel, TruncatedError
from bramblestile.tls import certificates
from bramblestile.tls.verification import CertificateInfo

READ_SIZE_BYTES = 16640  # of one read from the socket: a whole record (RFC 8446, 5.2: 2^14 + 256)
WRITE_CHUNK_BYTES = 1 << 16  # encrypted at once; limits the copy that waits for a slow peer
MAX_HANDSHAKE_BYTES = 1 << 17  # from the host during the handshake: room for ten certificates of 8 KiB
MAX_BYTES_WITHOUT_DATA = 1 << 18  # consecutive bytes from the host that carry no data: about a thousand tickets
_RECORD_TYPES = frozenset((20, 21, 22, 23))  # change_cipher_spec, alert, handshake, application_data
_DER_ENCODING = 2  # _ssl.ENCODING_DER
ChainVerifier = Callable[[Sequence[CertificateInfo]], None]  # raises an exception that ends the handshake


class HandshakeError(sockets.DialError):
    """The handshake failed. The text says what the host did; no request was sent."""


class CertificateVerificationError(sockets.DialError):
    """OpenSSL refused the host's certificate: its error code and message, and the chain that the host presented."""

    def __init__(self, code: int, message: str, chain: Sequence[CertificateInfo]) -> None:
        super().__init__(message)
        self.code, self.message, self.chain = code, message, chain


class FloodError(ConnectionError):
    """The host sent more than ``MAX_BYTES_WITHOUT_DATA`` without any data."""


class TlsChannel(Channel):
    """A TLS connection to a host, as the client.

    ``chain`` is the certificate chain with which the session began; for a resumed session the caller sets it.
    ``on_first_data`` is called once, when the first data has been read.
    """

    def __init__(
        self, sock: socket.socket, context: ssl.SSLContext, server_name: str | None, session: Any = None
    ) -> None:
        self._sock = sock
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._ssl = context.wrap_bio(self._incoming, self._outgoing, server_hostname=server_name, session=session)
        self._lock = threading.Lock()
        self._send_lock = threading.Lock()
        self._blocking = False
        self._drained = False  # everything received has been decrypted
        self._pushed_back = b""  # data that is read before any other
        self._unsent = b""  # records that a reader could not send without blocking
        self._closed_locally = False  # an end of the socket's stream then says nothing about the peer
        self._eof = False  # the socket's stream has ended; the last record tells whether in order
        self._bytes_without_data = 0
        self.on_first_data: Callable[[TlsChannel], None] | None = None
        self.chain: Sequence[CertificateInfo] = ()

    # The handshake, by one thread, before other threads use the channel.

    def handshake(self, until: timedelta, verify_chain: ChainVerifier, interrupt: sockets.Signal | None = None) -> None:
        """Carry out the handshake until a point in time. ``verify_chain`` raises an exception to refuse the host.

        ``interrupt`` ends the wait for the host as the end of the time does.

        Our last flight, which with TLS 1.3 contains the client certificate, is sent only after OpenSSL and
        ``verify_chain`` have accepted the host. Raises DialError, TimeoutError, or what ``verify_chain`` raises.
        """
        received_bytes = 0
        while not self._continue_handshake(verify_chain):
            self._write_to_socket(self._outgoing.read())
            if not sockets.wait_readable(self._sock, until - now(), interrupt):
                raise HandshakeError(
                    "tls: no end of the handshake in time" if received_bytes else "tls: no answer to the ClientHello"
                )
            try:
                data = self._sock.recv(READ_SIZE_BYTES)
            except OSError as error:
                raise HandshakeError(f"tls: broke in the handshake: {error.strerror or error}") from None
            if not data:
                raise HandshakeError("tls: the host ended the connection in the handshake")
            if not received_bytes and data[0] not in _RECORD_TYPES:
                raise HandshakeError(f"tls: the host answers in plain text: {data[:16]!r}")
            received_bytes += len(data)
            if received_bytes > MAX_HANDSHAKE_BYTES:
                raise HandshakeError(f"tls: over {MAX_HANDSHAKE_BYTES} bytes of handshake")
            self._incoming.write(data)
        self._write_to_socket(self._outgoing.read())

    def _continue_handshake(self, verify_chain: ChainVerifier) -> bool:
        """Process what has been received, and return whether the handshake is complete."""
        try:
            self._ssl.do_handshake()
        except ssl.SSLWantReadError:
            return False
        except ssl.SSLCertVerificationError as error:
            chain: Sequence[CertificateInfo] = ()
            with contextlib.suppress(certificates.CertificateParseError):
                chain = self._presented_chain()
            self._send_alert()
            raise CertificateVerificationError(error.verify_code, error.verify_message, chain) from None
        except ssl.SSLError as error:
            self._send_alert()
            raise HandshakeError(f"tls: {_reason(error)}") from None
        try:
            if not self._ssl.session_reused:
                self.chain = self._presented_chain()
            verify_chain(self.chain)
        except certificates.CertificateParseError as error:
            raise HandshakeError(f"tls: {error}") from None
        return True

    def _presented_chain(self) -> Sequence[CertificateInfo]:
        """Return the chain as the host sent it, the leaf first.

        ``get_unverified_chain`` is public since Python 3.13; before, it is a method of the wrapped object.
        """
        ssl_object = self._ssl if hasattr(self._ssl, "get_unverified_chain") else self._ssl._sslobj  # type: ignore[attr-defined]
        presented = ssl_object.get_unverified_chain() or ()
        return certificates.parse_chain(
            [c if isinstance(c, bytes) else c.public_bytes(_DER_ENCODING) for c in presented]
        )

    def _send_alert(self) -> None:
        """Send the alert that OpenSSL produced, which tells the host why the handshake failed."""
        with contextlib.suppress(OSError):
            self._write_to_socket(self._outgoing.read())

    @property
    def session_reused(self) -> bool:
        """Whether the handshake resumed a session."""
        return bool(self._ssl.session_reused)

    def session(self) -> Any:
        """Return the session for resumption by a later handshake, or None if the host does not offer that."""
        with self._lock:
            ssl_session = self._ssl.session
        return (
            ssl_session
            if ssl_session is not None and (ssl_session.has_ticket or (ssl_session.id and self.version == "TLSv1.2"))
            else None
        )

    @property
    def version(self) -> str:
        """The protocol version, such as ``TLSv1.3``."""
        return self._ssl.version() or "?"

    @property
    def cipher(self) -> str:
        """The name of the cipher suite."""
        return (self._ssl.cipher() or ("?",))[0]

    def push_back(self, data: bytes) -> None:
        """Have data read first that was received before TLS began, such as a NATS host's INFO."""
        self._pushed_back = data

    # Reading, by one thread.

    def fileno(self) -> int:
        """Return the socket's file descriptor."""
        return self._sock.fileno()

    def has_buffered_data(self) -> bool:
        """Return whether ``recv_into`` may return at once, even if the socket is not readable."""
        return bool(self._pushed_back) or not self._drained

    def setblocking(self, flag: bool) -> None:
        """Set whether ``recv_into`` waits."""
        self._blocking = flag

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        """Read data into the buffer and return its size, 0 at an orderly end.

        Raises TruncatedError at an end without close_notify, FloodError, BlockingIOError when non-blocking, or another
        OSError.
        """
        view = memoryview(buffer)
        while True:
            with self._lock:
                size = self._decrypt(view)
            if self._outgoing.pending:
                self._send_without_blocking()
            if size is not None:
                if size and self.on_first_data is not None:
                    callback, self.on_first_data = self.on_first_data, None
                    callback(self)
                return size
            self._receive()

    def _decrypt(self, view: memoryview) -> int | None:
        """Read decrypted data; the caller holds ``_lock``.

        Returns None if more must be received first, and 0 at the end: after close_notify, or when this side closed.
        """
        if self._pushed_back:
            size = min(len(view), len(self._pushed_back))
            view[:size] = self._pushed_back[:size]
            self._pushed_back = self._pushed_back[size:]
            return size
        try:
            decrypted = self._ssl.read(len(view), view)
        except ssl.SSLWantReadError:
            self._drained = True
            if self._eof and not self._closed_locally:
                raise TruncatedError("tls: ended without close_notify") from None
            return 0 if self._closed_locally else None
        except ssl.SSLZeroReturnError:
            return 0
        except ssl.SSLError as error:
            if self._closed_locally:
                return 0
            raise ConnectionError(f"tls: {_reason(error)}") from None
        assert isinstance(decrypted, int)
        self._bytes_without_data = 0
        return decrypted

    def _receive(self) -> None:
        """Receive from the socket, and wait for data if the channel is blocking."""
        data = self._sock.recv(READ_SIZE_BYTES, 0 if self._blocking else socket.MSG_DONTWAIT)
        with self._lock:
            self._drained = False
            if not data:
                # Not reported to OpenSSL, which would answer with an alert, while the caller may have to send RST.
                self._eof = True
                return
            self._bytes_without_data += len(data)
            if self._bytes_without_data > MAX_BYTES_WITHOUT_DATA:
                raise FloodError(f"tls: {self._bytes_without_data} bytes without data")
            self._incoming.write(data)

    # Writing.

    def send_all(self, parts: Sequence[bytes | memoryview]) -> None:
        """Encrypt and write all parts, or raise OSError."""
        data = memoryview(parts[0] if len(parts) == 1 else b"".join(parts))
        with self._send_lock:
            for start in range(0, len(data), WRITE_CHUNK_BYTES):
                with self._lock:
                    try:
                        self._ssl.write(data[start : start + WRITE_CHUNK_BYTES])
                    except ssl.SSLError as error:
                        raise ConnectionError(f"tls: {_reason(error)}") from None
                self._send_pending()
        if self._outgoing.pending:  # output of a reader that could not get the lock
            self._send_without_blocking()

    def _send_pending(self) -> None:
        with self._lock:
            data = self._take_pending()
        self._write_to_socket(data)

    def _take_pending(self) -> bytes:
        """Remove and return all pending records in order; the caller holds both locks."""
        data, self._unsent = self._unsent + self._outgoing.read(), b""
        return data

    def _write_to_socket(self, data: bytes) -> None:
        if data:
            sockets.write(self._sock, [data])

    def _send_without_blocking(self) -> None:
        """Send a reader's output, such as the answer to a key update, without delaying the reader.

        What cannot be sent now goes out with the next write. A thread that holds ``_send_lock`` checks for pending
        output after it has released the lock, so none is forgotten.
        """
        while self._outgoing.pending and self._send_lock.acquire(blocking=False):
            try:
                with self._lock:
                    data = self._take_pending()
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT) if data else 0
                except BlockingIOError:
                    sent = 0
                except OSError:
                    return  # the next read or write raises it as well
                self._unsent = data[sent:]
                if self._unsent:
                    return
            finally:
                self._send_lock.release()

    # Closing, by any thread.

    def shutdown(self, how: int) -> None:
        """Shut down one or both directions; close_notify precedes the end of the writing direction."""
        if how != socket.SHUT_RD:
            self._send_close_notify()
        if how != socket.SHUT_WR:
            self._closed_locally = True
        self._sock.shutdown(how)

    def _send_close_notify(self) -> None:
        """Send close_notify, except during another thread's write: the data is truncated then, as the peer will see."""
        if not self._send_lock.acquire(blocking=False):
            return
        try:
            with self._lock:
                self._save_unread()
                # ``unwrap`` also reads, which is the reading thread's task, but no input is left for it.
                with contextlib.suppress(ssl.SSLError, ValueError):
                    self._ssl.unwrap()
                data = self._take_pending()
            with contextlib.suppress(OSError):
                self._sock.send(data, socket.MSG_DONTWAIT)
        finally:
            self._send_lock.release()

    def _save_unread(self) -> None:
        """Decrypt all received records, so that their data can still be read after close_notify was sent."""
        with contextlib.suppress(ssl.SSLError):
            while self._incoming.pending:
                data = self._ssl.read(READ_SIZE_BYTES)
                if not data:
                    return
                self._pushed_back += data

    def terminate(self, reset: bool, linger: timedelta) -> None:
        """Close the channel with close_notify and FIN, or with RST; ``linger`` is that of ``sockets.close``."""
        self._closed_locally = True
        if not reset:
            self._send_close_notify()
        sockets.close(self._sock, reset, linger)


def _reason(error: ssl.SSLError) -> str:
    """Return OpenSSL's reason in lower case, or the whole text of an error that has none."""
    return (error.reason or str(error)).lower().replace("_", " ")
