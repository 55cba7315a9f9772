"""TLS to upstream hosts: certificate verification, a limit on handshakes, session resumption, and the channel itself.

``load_trust_store`` reads an operator's files into a ``TrustStore``, all of them or none; a ``Dialer`` opens channels
with it. The decisions are made by modules without I/O:

- ``verification``: whether a host's certificate chain is acceptable.
- ``budget``: whether a host may be asked for a handshake now.
- ``session_cache``: which TLS session may be resumed.
- ``refused_hosts``: when a host whose certificate was refused is checked again.

This package is imported only where a ``tls`` table is configured, because its dependencies are an optional extra.
"""

from bramblestile.tls.budget import HandshakeRates
from bramblestile.tls.dialer import Dialer, DialerConfig
from bramblestile.tls.trust import TlsFiles, TlsFilesError, TrustStore, load_trust_store

__all__ = ["Dialer", "DialerConfig", "HandshakeRates", "TlsFiles", "TlsFilesError", "TrustStore", "load_trust_store"]
