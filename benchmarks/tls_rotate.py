"""Rotate certificates and authorities every few seconds under load.

No connection may be cut or wrongly refused, and no certificate wrongly accepted. Each round follows the documented
procedure: both authorities are put into the balancer's file, the hosts and the client certificate change to the new
one, and the old one is removed. Meanwhile connections stay open and new ones are made. A host with a certificate of an
untrusted authority is listed too, and must never get a request. Hosts verify client certificates as well.
"""

from __future__ import annotations

import logging
import ssl
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import click

from tests.authority import Authority, IssuedCertificate
from tests.load import StubHosts, run_load, running_daemon

UNTRUSTED_HOST = "h4"  # the last one


class Rotation:
    """The TLS files of the balancer, in a folder, and the certificates of the hosts.

    ``authority`` is the present authority and ``previous_authority`` the one before it.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = Authority("authority 0")
        self.previous_authority: Authority | None = None
        self.untrusted_authority = Authority("an untrusted authority")
        self.write_file("ca.pem", self.authority.ca_file.read_bytes())
        self.renew_client_certificate()

    def write_file(self, name: str, content: bytes) -> None:
        """Replace a file atomically."""
        path = self.folder / name
        temporary = self.folder / (name + ".new")
        temporary.write_bytes(content)
        temporary.chmod(0o600)
        temporary.rename(path)

    def renew_client_certificate(self) -> None:
        """Write a new client certificate and its key, issued by the present authority."""
        issued: IssuedCertificate = self.authority.issue("balancer", for_server=False)
        self.write_file("client.key", issued.key_file.read_bytes())
        self.write_file("client.pem", issued.cert_file.read_bytes())

    def server_context(self, name: str) -> ssl.SSLContext:
        """Return the TLS context of a host, with a new certificate."""
        if name == UNTRUSTED_HOST:
            return self.untrusted_authority.issue(name).server_context()
        context = self.authority.issue(name).server_context(client_authority=self.authority)
        if self.previous_authority is not None:
            context.load_verify_locations(self.previous_authority.ca_file)
        return context


@click.command()
@click.option("--rounds", default=4, show_default=True)
@click.option("--every", default=10.0, show_default=True, help="Seconds of a round.")
@click.option("--standing", default=50, show_default=True)
def main(rounds: int, every: float, standing: int) -> None:
    """Rotate certificates and authorities under load."""
    logging.disable()  # the certificates expire within days, which would be logged as warnings
    results: Counter[str] = Counter()
    long_lived_results: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as tls_folder, tempfile.TemporaryDirectory() as config_folder:
        folder = Path(tls_folder)
        rotation = Rotation(folder)
        hosts = StubHosts(5, lifetime_s=-1, tls=rotation.server_context)
        tls_config = {
            "ca": str(folder / "ca.pem"),
            "cert": str(folder / "client.pem"),
            "key": str(folder / "client.key"),
        }
        stopped = threading.Event()

        def keep_connecting() -> None:
            seed = 1
            while not stopped.is_set():
                results.update(run_load(daemon.address, 40, concurrency=4, seed=(seed := seed + 1), hold_s=0.3))

        try:
            with running_daemon(Path(config_folder), hosts, tls=tls_config) as daemon:
                stay_s = rounds * every + 2
                threads = [
                    threading.Thread(target=keep_connecting),
                    threading.Thread(
                        target=lambda: long_lived_results.update(
                            run_load(
                                daemon.address,
                                standing,
                                concurrency=standing,
                                seed=99,
                                hold_s=stay_s,
                                timeout_s=stay_s + 20,
                            )
                        )
                    ),
                ]
                for thread in threads:
                    thread.start()
                for n in range(rounds):
                    began = time.monotonic()
                    loaded = daemon.counters().get("tls_files_taken", 0)
                    rotation.previous_authority, rotation.authority = (
                        rotation.authority,
                        Authority(f"authority {n + 1}"),
                    )
                    both_authorities = (
                        rotation.previous_authority.ca_file.read_bytes() + rotation.authority.ca_file.read_bytes()
                    )
                    rotation.write_file("ca.pem", both_authorities)
                    while daemon.counters().get("tls_files_taken", 0) == loaded:
                        time.sleep(0.1)
                    for host in hosts.names:
                        hosts.run_on_loop(hosts.renew_certificate(host))
                    loaded = daemon.counters().get("tls_files_taken", 0)
                    rotation.renew_client_certificate()
                    while daemon.counters().get("tls_files_taken", 0) == loaded:
                        time.sleep(0.1)
                    rotation.write_file("ca.pem", rotation.authority.ca_file.read_bytes())
                    time.sleep(max(0.0, began + every - time.monotonic()))
                counters = daemon.counters()
                stopped.set()
                for thread in threads:
                    thread.join()
                daemon.stop()
        finally:
            hosts.stop()
    refused = {k: v for k, v in counters.items() if k.startswith("tls_refused")}
    click.echo(
        f"{rounds} rounds of {every:.0f} s: {counters['tls_files_taken']} changed files loaded, "
        f"{counters.get('tls_files_refused', 0)} rejected as half-written"
    )
    click.echo(
        f"connections that stayed open throughout: {long_lived_results['UP']} of {standing}; "
        f"cut {long_lived_results['cut']}, moved {long_lived_results['moved']}"
    )
    click.echo(
        f"new connections: {results['UP']} served, {results['BUSY']} refused, {results['ERR']} failed, "
        f"{results['cut']} cut; handshakes {counters['tls_full']} full, {counters['tls_resumed']} resumed"
    )
    click.echo(
        f"the untrusted host got {hosts.served[UNTRUSTED_HOST]} requests; certificates refused: {refused}, "
        f"handshakes failed {counters.get('tls_failed', 0)}"
    )


if __name__ == "__main__":
    main()
