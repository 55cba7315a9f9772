"""Certificates and authorities change every few seconds under load: nobody is cut, refused wrongly or believed wrongly.

Each round is the documented procedure: both authorities in the balancer's file, the hosts and the client certificate
change to the new one, the old one goes. Meanwhile connections stand, new ones come, and a host with a stranger's
certificate is listed, which must never take a request. Hosts check client certificates too.
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

from tests.authority import Authority, Issued
from tests.load import StubHosts, run_load, running_daemon


class Rotation:
    """The files of the balancer and what the hosts show. The last host is the stranger."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = Authority("authority 0")
        self.before: Authority | None = None
        self.stranger = Authority("a stranger's authority")
        self.put("ca.pem", self.authority.file.read_bytes())
        self.client()

    def put(self, name: str, raw: bytes) -> None:
        path = self.folder / name
        beside = self.folder / (name + ".new")
        beside.write_bytes(raw)
        beside.chmod(0o600)
        beside.rename(path)

    def client(self) -> None:
        mine: Issued = self.authority.issue("balancer", server=False)
        self.put("client.key", mine.key_file.read_bytes())
        self.put("client.pem", mine.cert_file.read_bytes())

    def server(self, name: str) -> ssl.SSLContext:
        if name == "h4":
            return self.stranger.issue(name).server()
        made = self.authority.issue(name).server(clients=self.authority)
        if self.before is not None:
            made.load_verify_locations(self.before.file)
        return made


@click.command()
@click.option("--rounds", default=4, show_default=True)
@click.option("--every", default=10.0, show_default=True, help="Seconds of a round.")
@click.option("--standing", default=50, show_default=True)
def main(rounds: int, every: float, standing: int) -> None:
    """Rotate certificates and authorities under load."""
    logging.disable()
    got: Counter[str] = Counter()
    stood: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as name, tempfile.TemporaryDirectory() as config:
        folder = Path(name)
        rotation = Rotation(folder)
        hosts = StubHosts(5, life=-1, tls=rotation.server)
        table = {"ca": str(folder / "ca.pem"), "cert": str(folder / "client.pem"), "key": str(folder / "client.key")}
        over = threading.Event()

        def keep_asking() -> None:
            seed = 1
            while not over.is_set():
                got.update(run_load(program.address, 40, at_once=4, seed=(seed := seed + 1), stay=0.3))

        try:
            with running_daemon(Path(config), hosts, tls=table) as program:
                span = rounds * every + 2
                threads = [
                    threading.Thread(target=keep_asking),
                    threading.Thread(
                        target=lambda: stood.update(
                            run_load(program.address, standing, at_once=standing, seed=99, stay=span, within=span + 20)
                        )
                    ),
                ]
                for thread in threads:
                    thread.start()
                for n in range(rounds):
                    began = time.monotonic()
                    taken = program.counters().get("tls_files_taken", 0)
                    rotation.before, rotation.authority = rotation.authority, Authority(f"authority {n + 1}")
                    both = rotation.before.file.read_bytes() + rotation.authority.file.read_bytes()
                    rotation.put("ca.pem", both)
                    while program.counters().get("tls_files_taken", 0) == taken:
                        time.sleep(0.1)
                    for host in hosts.names:
                        hosts.on_loop(hosts.renew(host))
                    taken = program.counters().get("tls_files_taken", 0)
                    rotation.client()
                    while program.counters().get("tls_files_taken", 0) == taken:
                        time.sleep(0.1)
                    rotation.put("ca.pem", rotation.authority.file.read_bytes())
                    time.sleep(max(0.0, began + every - time.monotonic()))
                counters = program.counters()
                over.set()
                for thread in threads:
                    thread.join()
                program.stop()
        finally:
            hosts.stop()
    refused = {k: v for k, v in counters.items() if k.startswith("tls_refused")}
    click.echo(
        f"{rounds} rounds of {every:.0f} s: {counters['tls_files_taken']} changes of files taken, "
        f"{counters.get('tls_files_refused', 0)} refused as half-written"
    )
    click.echo(f"standing through all of it: {stood['UP']} of {standing}; cut {stood['cut']}, moved {stood['moved']}")
    click.echo(
        f"new connections: {got['UP']} served, {got['BUSY']} refused, {got['ERR']} failed, {got['cut']} cut; "
        f"handshakes {counters['tls_full']} full, {counters['tls_resumed']} resumed"
    )
    click.echo(
        f"the stranger took {hosts.taken['h4']} requests; certificates refused: {refused}, "
        f"handshakes failed {counters.get('tls_failed', 0)}"
    )


if __name__ == "__main__":
    main()
