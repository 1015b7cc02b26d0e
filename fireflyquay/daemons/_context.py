"""What commands need: their arguments, the store, the entry VMs."""

from __future__ import annotations

import argparse
import os
import sys
import time
import uuid
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from fireflyquay.client import Client
from fireflyquay.contracts import (
    ChangeMetadata,
)
from fireflyquay.world import MAX_PORT, ChangeId, Code, parse_count

from ._output import UsageError, format_json

if TYPE_CHECKING:
    from fireflyquay.links import HttpClient, Store

STORE_VARIABLE = "FIREFLYQUAY_STORE"
ENTRIES_VARIABLE = "FIREFLYQUAY_ENTRIES"
TOKEN_VARIABLE = "FIREFLYQUAY_TOKEN"  # noqa: S105
WHO_VARIABLE = "FIREFLYQUAY_WHO"


class Context:
    """Give commands their links and their output."""

    def __init__(
        self, arguments: argparse.Namespace, environment: Mapping[str, str]
    ) -> None:
        self.arguments = arguments
        self._environment = environment

    def make_http_client(self) -> HttpClient:
        """Make the HTTP client."""
        from fireflyquay.links import HttpClient, HttpLimits

        return HttpClient(HttpLimits())

    def open_store(self) -> Store:
        """Make the link to the store; raise UsageFault without an address."""
        text = self._get_option("store", STORE_VARIABLE)
        addresses = parse_addresses(text)
        if len(addresses) != 1:
            raise UsageError(
                Code.BAD_SETTINGS,
                f"Name one store by --store HOST:PORT or {STORE_VARIABLE}.",
            )
        from fireflyquay.links import HttpStore

        host, port = addresses[0]
        return HttpStore(self.make_http_client(), host, port)

    def get_token(self) -> str:
        """Return the bearer token, empty when none was given."""
        return self._get_option("token", TOKEN_VARIABLE)

    def get_entry_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of entry VMs; raise UsageFault without one."""
        addresses = parse_addresses(self._get_option("entries", ENTRIES_VARIABLE))
        if not addresses:
            raise UsageError(
                Code.BAD_SETTINGS,
                f"Name entry VMs by --entries HOST:PORT,... or {ENTRIES_VARIABLE}.",
            )
        return addresses

    def make_client(self) -> Client:
        """Make the callers' client."""
        return Client(
            self.get_entry_addresses(), self.get_token(), self.make_http_client()
        )

    def make_change_metadata(self) -> ChangeMetadata:
        """Name a new change."""
        who = self._get_option("who", WHO_VARIABLE) or self._environment.get("USER", "")
        change_id = ChangeId(uuid.uuid4().hex)
        return ChangeMetadata(change_id, who or "unknown", time.time())

    def print_notice(self, sentence: str) -> None:
        """Print a sentence to standard error."""
        print(sentence, file=sys.stderr)

    def print(self, value: Any, text: str) -> None:
        """Print the value as JSON, or the text for people."""
        print(format_json(value) if self.arguments.json else text)

    def _get_option(self, name: str, variable: str) -> str:
        given = getattr(self.arguments, name, None)
        return given or self._environment.get(variable, "")


def make_context(arguments: argparse.Namespace) -> Context:
    """Make the context of this process."""
    return Context(arguments, os.environ)


def parse_addresses(text: str) -> list[tuple[str, int]]:
    """Read HOST:PORT parts separated by commas; raise UsageFault."""
    addresses = []
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        host, _, port = part.rpartition(":")
        number = parse_count(port, MAX_PORT)
        if not host or not number:
            sentence = f"{part!r} is not HOST:PORT with a port from 1 to 65535."
            raise UsageError(Code.BAD_SETTINGS, sentence)
        addresses.append((host, number))
    return addresses


def parse_version(text: str) -> int:
    """Read a version from 0, for argparse."""
    version = parse_count(text)
    if version is None:
        raise argparse.ArgumentTypeError(f"{text!r} is no version from 0")
    return version


def add_store_option(parser: argparse.ArgumentParser) -> None:
    """Add the option that names the store."""
    parser.add_argument(
        "--store", metavar="HOST:PORT", help=f"the store, or {STORE_VARIABLE}"
    )


def add_entry_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that name entry VMs and the token."""
    parser.add_argument(
        "--entries",
        metavar="HOST:PORT,...",
        help=f"entry VMs to ask first, or {ENTRIES_VARIABLE}",
    )
    parser.add_argument("--token", help=f"the bearer token, or {TOKEN_VARIABLE}")


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for JSON output."""
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
