"""Assembly of an entry VM's daemon."""

from __future__ import annotations

import sys
from pathlib import Path

from fireflyquay.gateway import (
    Gateway,
    GatewaySettings,
    generate_incarnation,
    run_gateway,
)
from fireflyquay.links import (
    HttpClient,
    HttpLimits,
    HttpStore,
    HttpVmList,
    JsonLineHandler,
)

from ._contract_source import ContractSource
from ._dialect import ContractDialect
from ._key_claims import StoreClaims
from ._pages import Pages
from ._settings import EntrySettings, load_settings

# Limit for buffered responses of the store and of backend servers.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


def make_gateway(settings: EntrySettings) -> Gateway:
    """Return the gateway of an entry VM without starting it."""
    client = HttpClient(HttpLimits(max_body_bytes=MAX_RESPONSE_BYTES))
    platform = settings.platform
    store = HttpStore(client, platform.host, platform.port)
    vms = HttpVmList(client, platform.host, platform.port, platform.timeout)
    incarnation = generate_incarnation()
    gateway = Gateway(
        settings.make_gateway_settings(),
        ContractDialect(),
        ContractSource(store, vms, settings),
        client,
        claims=StoreClaims(store, incarnation, platform.timeout),
        incarnation=incarnation,
    )
    gateway.handlers_by_path.update(
        Pages(gateway, settings.node.operator_token).get_handlers()
    )
    return gateway


async def run_entry(path: Path) -> None:
    """Run an entry VM's daemon with JSON logging until it is stopped."""
    settings = load_settings(path)
    handler = JsonLineHandler(sys.stdout.fileno(), settings.log.lines_per_second)
    with handler.applicationbound():
        await run_gateway(make_gateway(settings), path, _load_gateway_settings)


def _load_gateway_settings(path: Path) -> GatewaySettings:
    return load_settings(path).make_gateway_settings()
