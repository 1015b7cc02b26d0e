"""Gateway settings and fleet configuration of an emulated site."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from fireflyquay.gateway import (
    GatewaySettings,
    PromiseSettings,
    RolloutSettings,
    StoreSettings,
    VmSettings,
)
from fireflyquay.world import (
    ClientAccount,
    ClientAccountId,
    ClientLimits,
    FleetConfig,
    Quota,
    QuotaUnit,
    Route,
    Service,
    ServiceId,
    ServiceShare,
)

from ._dialect import SITE_HOST
from ._site import Kind, Site

PEER_PORT, CLIENT_PORT = 7600, 8221
# Most seed addresses in a VM's settings, its own address included.
MAX_SEEDS = 3
STOP_GRACE_SECONDS = 8.0
# Tokens for which a plain request counts in a quota.
TOKENS_PER_PLAIN_REQUEST = 200.0
# Burst of a quota, in seconds of its rate.
BURST_SECONDS = 4.0
# Bounds of roll-outs: requests to an untried version as a share of its service's, and
# besides, and the seconds from a proof that it is bad until it receives nothing.
EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_SECONDS = 0.1, 50.0, 5.0


def make_settings(
    site: Site, host: str, zone: str, other_hosts: Sequence[str]
) -> GatewaySettings:
    """Return a gateway's settings, with its own and some other hosts as seeds."""
    hosts = [host, *other_hosts][:MAX_SEEDS]
    address = f"{host}:{CLIENT_PORT}"
    vm = VmSettings(
        name=host,
        zone=zone,
        region="region",
        client_address=address,
        ready_address=address,
        directory_address=address,
        peer_address=f"{host}:{PEER_PORT}",
        peer_port=PEER_PORT,
        seeds=tuple(f"{it}:{PEER_PORT}" for it in hosts),
    )
    promises = {
        "revoke": site.revoke,
        "stop_grace": STOP_GRACE_SECONDS,
        "repeat_ratio": 0.2,
        "repeat_slack": 50.0,
        "repeat_window": 10.0,
        "quota_overshoot": 0.1,
        "quota_slack": 0.0,
        "max_keep": 5.0,
        **site.promises,
    }
    store = StoreSettings("10.200.0.1:1", 1.0)
    rollout = None
    if site.rollouts:
        rollout = RolloutSettings(EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_SECONDS)
    return GatewaySettings(vm, store, PromiseSettings(**promises), rollout=rollout)


def make_config(site: Site, version: int, keys: Mapping[str, str]) -> FleetConfig:
    """Return one version of the configuration, with the API key of each account."""
    limits = ClientLimits(16384, 1 << 20, 3.0, 15.0)
    services = [*site.engines, *site.services]
    return FleetConfig(
        version,
        tuple(_make_route(kind) for kind in site.kinds),
        {ServiceId(name): Service(ServiceId(name), 500) for name in services},
        limits,
        tuple(_make_account(site, name, key) for name, key in keys.items()),
        requires_keys=True,
    )


def get_quotas(config: FleetConfig) -> dict[str, tuple[float, float]]:
    """Return each account's quota: tokens per second, and burst in tokens."""
    return {
        account.id: (quota.rate, quota.burst)
        for account in config.accounts
        for quota in account.quotas
    }


def _make_account(site: Site, name: str, key: str) -> ClientAccount:
    quotas: tuple[Quota, ...] = ()
    if site.quota_factor:
        mean = sum(
            kind.rate
            * (kind.prompt_tokens + kind.events * 5 + TOKENS_PER_PLAIN_REQUEST)
            for kind in site.kinds
        )
        rate = site.quota_factor * mean / site.accounts
        burst = BURST_SECONDS * rate
        quotas = (Quota(QuotaUnit.TOKEN, rate, burst, TOKENS_PER_PLAIN_REQUEST),)
    return ClientAccount(ClientAccountId(name), frozenset((key,)), None, quotas)


def _make_route(kind: Kind) -> Route:
    return Route(
        name=kind.name,
        host=SITE_HOST,
        path_prefix=f"/{kind.name}/",
        is_stream=kind.is_stream,
        repeat_rule=kind.repeat_rule,
        timeout=kind.client_timeout,
        target_latency=kind.target_latency,
        rank=kind.rank,
        shares=(ServiceShare(ServiceId(kind.service), 1),),
        max_attempts=2,
        is_public=False,
        max_gap=kind.max_gap or None,
    )
