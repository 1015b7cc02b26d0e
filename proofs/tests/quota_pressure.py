"""Accounts that ask an emulated fleet for slots, and what they were granted."""

import asyncio
from dataclasses import dataclass, field, replace

from emulator import Emulation, run_virtual
from fireflyquay.dispatch import Grant
from fireflyquay.dispatch.tests.builders import make_request
from fireflyquay.world import Code, Quota, QuotaUnit
from proofs import make_site

RATE = BURST = 36_000.0
OVERSHOOT, SLACK = 0.1, 140_000.0
WINDOW_SECONDS = 8.0
LIMIT = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK
# The hot account asks for 4.1 times its quota, the modest one for 0.8 of it.
HOT_TOKENS, HOT_PER_SECOND = 7_000, 21
# Time without requests before the disruption, after which all usage is known.
QUIET_SECONDS = 10.0
MODEST_TOKENS, MODEST_PER_SECOND = 1_800, 16


@dataclass
class Pressure:
    """Ask for slots for some accounts at all VMs in turn, and release them at once."""

    emulation: Emulation
    # Time, tokens and VM of each grant of the hot account.
    grants: list[tuple[float, int, str]] = field(default_factory=list)
    # Time and VM of each refusal of the modest account.
    refusals: list[tuple[float, str]] = field(default_factory=list)
    # Times of granted retries.
    retries: list[float] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)

    async def press(self, account, tokens, per_second, seconds):
        """Send one account's requests for some seconds."""
        for number in range(int(seconds * per_second)):
            hosts = self.emulation.list_hosts()
            if hosts:
                ask = self.ask(account, tokens, hosts[number % len(hosts)], number)
                self.tasks.append(asyncio.ensure_future(ask))
            await self.emulation.run(1 / per_second)

    def start(self, seconds):
        """Start to send the requests of both accounts."""
        for load in (
            ("account-0", HOT_TOKENS, HOT_PER_SECOND, seconds),
            ("account-1", MODEST_TOKENS, MODEST_PER_SECOND, seconds),
        ):
            self.tasks.append(asyncio.ensure_future(self.press(*load)))

    async def press_retries(self, per_second, seconds):
        """Send retries, all of one service, and as many requests of another account."""
        for number in range(int(seconds * per_second)):
            hosts = self.emulation.list_hosts()
            if hosts:
                host = hosts[number % len(hosts)]
                self.tasks.append(
                    asyncio.ensure_future(self.ask("account-2", 1, host, number))
                )
                self.tasks.append(asyncio.ensure_future(self.retry(host, number)))
            await self.emulation.run(1 / per_second)

    async def retry(self, host, number):
        """Ask one VM for a slot for a retry."""
        gateway = self.emulation.gateways[host]
        request = make_request(
            9_000_000 + number, gateway.incarnation, service="llm", is_retry=True
        )
        decision = await gateway._slot_client.acquire(request)
        if isinstance(decision, Grant):
            gateway._slot_client.release(request, decision.backend)
            self.retries.append(self.emulation.loop.time())

    async def ask(self, account, tokens, host, number):
        """Ask one VM for a slot."""
        gateway, loop = self.emulation.gateways[host], self.emulation.loop
        asked_at = loop.time()
        number += 1_000_000 * (1 + int(account[-1]))
        request = make_request(
            number,
            gateway.incarnation,
            account=account,
            service="llm",
            quota_tokens=float(tokens),
        )
        decision = await gateway._slot_client.acquire(request)
        if isinstance(decision, Grant):
            gateway._slot_client.release(request, decision.backend)
            if account == "account-0":
                self.grants.append((loop.time(), tokens, host))
        elif account == "account-1" and decision.code is Code.TOKENS_LIMITED:
            self.refusals.append((asked_at, host))

    def find_highest_usage(self):
        """Return the most tokens that were granted to the hot account in a window."""
        return max(
            sum(
                tokens
                for at, tokens, _ in self.grants
                if start <= at <= start + WINDOW_SECONDS
            )
            for start, _, _ in self.grants
        )

    def find_most_retries(self, window_seconds):
        """Return the most retries that were granted in a window."""
        return max(
            sum(start <= at <= start + window_seconds for at in self.retries)
            for start in self.retries
        )


def press(disrupt, seconds=20.0, vms=8, retries_per_second=0):
    """Press the limits of a fleet during a disruption; return what was granted."""
    promises = {"quota_slack": SLACK, "quota_overshoot": OVERSHOOT}
    site = make_site(vms=vms, promises=promises)

    async def run():
        async with Emulation(site, 1) as emulation:
            quota = Quota(QuotaUnit.TOKEN, RATE, BURST, 200.0)
            config = emulation.store.config
            accounts = tuple(replace(it, quotas=(quota,)) for it in config.accounts)
            emulation.store.config = replace(config, accounts=accounts, version=2)
            emulation.store.increment_revision()
            await emulation.run(QUIET_SECONDS)
            pressure, ends_at = Pressure(emulation), emulation.loop.time() + seconds
            if retries_per_second:
                retries = pressure.press_retries(retries_per_second, seconds)
                pressure.tasks.append(asyncio.ensure_future(retries))
            else:
                pressure.start(seconds)
            await disrupt(emulation)
            await emulation.run(ends_at - emulation.loop.time())
            for task in pressure.tasks:
                task.cancel()
            return pressure

    return run_virtual(run())
