"""Tests of the helpers for sockets on loopback."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from standins import PortReservation
from standins.engine import Engine

HOSTS = ("127.0.0.1", "127.0.0.2")


@pytest.fixture
def reservation():
    reservation = PortReservation(2)
    yield reservation
    reservation.release()


def test_reserved_port_is_not_taken_before_its_server_listens(reservation):
    # The bind of a client's socket, which took the port of a test's gateway.
    for port in reservation.ports:
        for host in HOSTS:
            with socket.socket() as sock, pytest.raises(OSError) as error:
                sock.bind((host, port))
            assert error.value.errno == errno.EADDRINUSE


def test_servers_listen_on_a_reserved_port_and_again_after_a_restart(reservation):
    async def check() -> None:
        port = reservation.ports[0]
        for _ in range(2):
            servers = [await asyncio.start_server(_close, host, port) for host in HOSTS]
            for host in HOSTS:
                reader, writer = await asyncio.open_connection(host, port)
                assert await reader.read() == b""
                writer.close()
            for server in servers:
                server.close()
                await server.wait_closed()

    asyncio.run(check())


def test_reserved_port_refuses_connections_while_no_server_listens(reservation):
    with socket.socket() as sock, pytest.raises(ConnectionRefusedError):
        sock.connect((HOSTS[0], reservation.ports[0]))


def test_port_of_a_crashed_stand_in_is_kept_until_its_restart():
    async def check() -> None:
        engine = Engine()
        port = await engine.start()
        engine.crash(0.2)
        await asyncio.sleep(0.1)
        with socket.socket() as sock, pytest.raises(OSError):
            sock.bind((HOSTS[0], port))
        await asyncio.sleep(0.2)
        _, writer = await asyncio.open_connection(HOSTS[0], port)
        writer.close()
        await engine.close()

    asyncio.run(check())


def _close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()
