"""Context of a command: its options, connections and output."""

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
from ._record_repository import STORE_REQUEST_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from fireflyquay.links import HttpClient, Store

    from ._platform_access import PlatformAccess
    from ._rollout_orders import RolloutOrders

STORE_VARIABLE = "FIREFLYQUAY_STORE"
ENTRIES_VARIABLE = "FIREFLYQUAY_ENTRIES"
TOKEN_VARIABLE = "FIREFLYQUAY_TOKEN"  # noqa: S105
WHO_VARIABLE = "FIREFLYQUAY_WHO"


class Context:
    """Provide a command with its options, connections and output."""

    def __init__(
        self,
        arguments: argparse.Namespace,
        environment: Mapping[str, str],
        platform: PlatformAccess | None = None,
    ) -> None:
        self.arguments = arguments
        self._environment = environment
        # None if the program that runs the command knows no platform.
        self._platform = platform

    def make_http_client(self) -> HttpClient:
        """Return a new HTTP client."""
        from fireflyquay.links import HttpClient, HttpLimits

        return HttpClient(HttpLimits())

    def make_store_client(self) -> Store:
        """Return a client of the store; raise UsageError unless one address is set."""
        host, port = self._get_store_address()
        from fireflyquay.links import HttpStore

        return HttpStore(self.make_http_client(), host, port)

    def make_rollout_orders(self) -> RolloutOrders:
        """Return access to orders of roll-outs; raise UsageError without any."""
        platform = self.get_platform()
        host, port = self._get_store_address()
        client = self.make_http_client()
        return platform.open_orders(client, host, port, STORE_REQUEST_TIMEOUT_SECONDS)

    def get_platform(self) -> PlatformAccess:
        """Return access to the platform; raise UsageError without any."""
        if self._platform is None:
            raise UsageError(
                Code.BAD_SETTINGS,
                "This command works on the platform only; run it by the platform's "
                "operate.py.",
            )
        return self._platform

    def get_token(self) -> str:
        """Return the bearer token, or an empty string if none is set."""
        return self._get_option("token", TOKEN_VARIABLE)

    def get_entry_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of seed entry VMs; raise UsageError if none is set."""
        addresses = parse_addresses(self._get_option("entries", ENTRIES_VARIABLE))
        if not addresses:
            raise UsageError(
                Code.BAD_SETTINGS,
                f"Set entry VMs with --entries HOST:PORT,... or {ENTRIES_VARIABLE}.",
            )
        return addresses

    def make_client(self) -> Client:
        """Return a client of the entry VMs."""
        return Client(
            self.get_entry_addresses(), self.get_token(), self.make_http_client()
        )

    def make_change_metadata(self) -> ChangeMetadata:
        """Return the metadata of a new change, with a new id."""
        who = self._get_option("who", WHO_VARIABLE) or self._environment.get("USER", "")
        change_id = ChangeId(uuid.uuid4().hex)
        return ChangeMetadata(change_id, who or "unknown", time.time())

    def print_to_stderr(self, sentence: str) -> None:
        """Print a sentence to stderr."""
        print(sentence, file=sys.stderr)

    def print(self, value: Any, text: str) -> None:
        """Print the value as JSON if --json is set, otherwise the text."""
        print(format_json(value) if self.arguments.json else text)

    def _get_store_address(self) -> tuple[str, int]:
        addresses = parse_addresses(self._get_option("store", STORE_VARIABLE))
        if len(addresses) != 1:
            raise UsageError(
                Code.BAD_SETTINGS,
                f"Set the store's address with --store HOST:PORT or {STORE_VARIABLE}.",
            )
        return addresses[0]

    def _get_option(self, name: str, variable: str) -> str:
        value = getattr(self.arguments, name, None)
        return value or self._environment.get(variable, "")


def make_context(
    arguments: argparse.Namespace, platform: PlatformAccess | None = None
) -> Context:
    """Return a context with the environment of this process."""
    return Context(arguments, os.environ, platform)


def parse_addresses(text: str) -> list[tuple[str, int]]:
    """Parse HOST:PORT parts separated by commas; raise UsageError if one is invalid."""
    addresses = []
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        host, _, port = part.rpartition(":")
        number = parse_count(port, MAX_PORT)
        if not host or not number:
            sentence = (
                f"{part!r} is not of the form HOST:PORT with a port from 1 to 65535."
            )
            raise UsageError(Code.BAD_SETTINGS, sentence)
        addresses.append((host, number))
    return addresses


def parse_version(text: str) -> int:
    """Parse a version number of 0 or more, for argparse."""
    version = parse_count(text)
    if version is None:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a version number of 0 or more"
        )
    return version


def add_store_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the store's address."""
    parser.add_argument(
        "--store",
        metavar="HOST:PORT",
        help=f"address of the store; default: ${STORE_VARIABLE}",
    )


def add_entry_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for addresses of entry VMs and the bearer token."""
    parser.add_argument(
        "--entries",
        metavar="HOST:PORT,...",
        help=f"entry VMs to contact first; default: ${ENTRIES_VARIABLE}",
    )
    parser.add_argument("--token", help=f"bearer token; default: ${TOKEN_VARIABLE}")


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Add the option --json."""
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
