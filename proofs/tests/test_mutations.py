"""Tests that each check fails if the mechanism behind its guarantee is disabled."""

from dataclasses import replace

import pytest

from emulator import Emulation, run_virtual
from fireflyquay.dispatch import (
    BackendRegistry,
    ConfigReplica,
    CrashTracker,
    PlacementSettings,
    QuotaLimiter,
    ReplicaSync,
    RetryBudget,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.dispatch._refusal_policy import RefusalPolicy
from fireflyquay.dispatch._slot_queue import SlotQueue
from fireflyquay.gateway import Gateway, _gateway, _ingress
from fireflyquay.gateway._ingress import Ingress
from fireflyquay.world import BackendPhase, Code
from proofs import CHECKS, Oracle, PriorityOrderCheck, make_site
from proofs._fault_actions import replace_all_vms, send_poison

STRICT_PRIORITY_SETTINGS = SlotSchedulerSettings(
    min_grant_share=0.0, placement=PlacementSettings(max_wait_share=0.0)
)


def find_failed_checks(
    fault, seconds=8.0, settle_seconds=9.0, seed=5, settings=None, **options
):
    site = make_site(**options)

    async def run():
        async with Emulation(site, seed, settings) as emulation:
            emulation.start_traffic(seconds)
            await emulation.run(1.5)
            await fault(emulation)
            await emulation.run(seconds + settle_seconds)
        return emulation.history

    history = run_virtual(run())
    found = Oracle(site, (*CHECKS, PriorityOrderCheck())).find_violations(history)
    return {violation.partition(":")[0] for violation in found}


# Faults that the tests inject.


async def crash_engines(emulation):
    for _ in range(4):
        for name in ("llm-0", "app-0", "app-1"):
            emulation.crash(name, 0.4)
        await emulation.run(1.0)


async def no_fault(emulation):
    return None


async def remove_servers(emulation):
    emulation.remove("llm-0")
    emulation.remove("app-0")


async def revoke_key_while_one_vm_is_cut_off(emulation):
    first, *others = emulation.list_hosts()
    emulation.clients.revoked_key_share = 0.5
    emulation.refuse_store(first, 14.0)
    for host in others:
        emulation.cut(first, host, 14.0)
    emulation.rotate_key("account-0", "fresh-0")


async def crash_each_engine_in_turn(emulation):
    for _ in range(2):
        for name in ("llm-0", "llm-1", "llm-2"):
            emulation.crash(name, 0.3)
            await emulation.run(0.9)


async def fail_service_requests(emulation):
    for name in ("app-0", "app-1"):
        emulation.servers[name].failure_rate = 1.0


async def slow_down_engines(emulation):
    for name in ("llm-0", "llm-1", "llm-2"):
        emulation.servers[name].slowdown = 60.0


async def revoke_key(emulation):
    emulation.clients.revoked_key_share = 0.5
    emulation.rotate_key("account-0", "fresh-0")


async def stop_one_vm(emulation):
    emulation.stop(emulation.list_hosts()[0])


async def send_poison_requests(emulation):
    await send_poison(emulation, 16, 0.5)


async def replace_all(emulation):
    await replace_all_vms(emulation, 0.5)


# Mutations; each disables one mechanism.


def repeat_everything(patch):
    patch.setattr(Ingress, "_may_retry", lambda *_: True)


def promise_everything(patch):
    patch.setattr(_ingress, "NOT_RUN_STATUSES", ())
    late = _ingress.RejectionError(Code.DEADLINE_UNREACHABLE, "late")
    patch.setattr(_ingress, "_make_timeout_rejection", lambda call: late)
    original = Ingress._raise_failure

    def raise_failure(self, call, outcome):
        call.may_have_run = False
        try:
            original(self, call, outcome)
        except _ingress.RejectionError:
            raise _ingress.RejectionError(Code.OVERLOADED, "not run", 0.5) from None

    patch.setattr(Ingress, "_raise_failure", raise_failure)


def pass_cut_streams(patch):
    original = Ingress._send_failure

    async def send_failure(self, exchange, responder, failure):
        if responder.started:
            await responder.finish()
            return
        await original(self, exchange, responder, failure)

    patch.setattr(Ingress, "_send_failure", send_failure)


def wait_for_ever(patch):
    patch.setattr(RefusalPolicy, "find_cause", lambda *_: None)
    patch.setattr(SlotScheduler, "_refuse_late", lambda *_: [])
    patch.setattr(SlotQueue, "pop_expired", lambda *_: [])
    original = Ingress._open_call

    def open_call(self, request, exchange, responder, arrived):
        call = original(self, request, exchange, responder, arrived)
        call.deadline_at += 30.0
        return call

    patch.setattr(Ingress, "_open_call", open_call)
    # Otherwise the clients' own timeout would end the requests that hang.
    patch.setattr("emulator._clients.MIN_SILENCE_TIMEOUT_SECONDS", 60.0)


def forget_ranks(patch):
    original = Ingress._make_slot_request

    def make_slot_request(self, call):
        from msgspec.structs import replace as change

        return change(original(self, call), rank=(0, 0))

    patch.setattr(Ingress, "_make_slot_request", make_slot_request)


def trust_leaving_servers(patch):
    def accepts_requests(self, name):
        return name in self._entries

    original = BackendRegistry.list_backends

    def list_backends(self):
        return [replace(entry, phase=BackendPhase.READY) for entry in original(self)]

    patch.setattr(BackendRegistry, "accepts_requests", accepts_requests)
    patch.setattr(BackendRegistry, "list_backends", list_backends)


def trust_old_config(patch):
    patch.setattr(_ingress, "STALE_MARGIN_SECONDS", -60.0)
    patch.setattr(_gateway, "MAX_READY_AGE_SHARE", 20.0)


def go_back_to_older_config(patch):
    configs = []

    def apply_config(self, config, freshness):
        configs.append(config)
        # Alternates between the first and the newest configuration every second.
        self.config = configs[0] if int(freshness.confirmed_at) % 2 else config
        self._build_indexes(self.config)
        self.mark_confirmed(freshness)
        return True

    patch.setattr(ConfigReplica, "apply_config", apply_config)


def never_learn_config(patch):
    original = ConfigReplica.apply_config
    patch.setattr(
        ConfigReplica,
        "apply_config",
        lambda self, config, freshness: (
            original(self, config, freshness)
            if self.config is None
            else self.mark_confirmed(freshness)
        ),
    )
    patch.setattr(ReplicaSync, "_apply_config", lambda *_: False)


def stop_at_once(patch):
    patch.setattr(Gateway, "stop", Gateway.abort)


def keep_running(patch):
    async def handle(self, request, responder):
        self.in_progress += 1
        try:
            await self._serve(request, responder)
        finally:
            self.in_progress -= 1

    patch.setattr(Ingress, "handle", handle)


def charge_nothing(patch):
    patch.setattr(QuotaLimiter, "charge", lambda *_: None)


def repeat_without_bound(patch):
    patch.setattr(RetryBudget, "try_acquire", lambda *_: True)
    patch.setattr(Ingress, "_may_retry", lambda self, call, outcome: True)
    pause = "fireflyquay.gateway._slot_client.UNREACHABLE_PAUSE_SECONDS"
    patch.setattr(pause, 0.0)


def forget_crashes(patch):
    patch.setattr(CrashTracker, "find_refusal", lambda *_: None)


def never_ready(patch):
    async def do_nothing(self):
        return None

    patch.setattr("fireflyquay.gateway._discovery.Discovery.discover_vms", do_nothing)
    patch.setattr(
        "fireflyquay.gateway._state_replicas.StateReplicas._read_backends",
        do_nothing,
        raising=True,
    )


MUTATIONS = [
    ("AtMostOnceCheck", repeat_everything, crash_each_engine_in_turn, {"load": 3.0}),
    ("NotRunStatusCheck", promise_everything, crash_each_engine_in_turn, {"load": 6.0}),
    # At this load, no request that may run once is on an engine that crashes, with the
    # default seed.
    (
        "NotRunStatusCheck",
        promise_everything,
        crash_each_engine_in_turn,
        {"load": 3.0, "seed": 6},
    ),
    (
        "CompleteResponseCheck",
        pass_cut_streams,
        crash_each_engine_in_turn,
        {"load": 2.0},
    ),
    ("ResponseDeadlineCheck", wait_for_ever, no_fault, {"load": 4.0}),
    (
        "PriorityOrderCheck",
        forget_ranks,
        no_fault,
        {"load": 2.5, "settings": STRICT_PRIORITY_SETTINGS},
    ),
    ("LeavingServerCheck", trust_leaving_servers, remove_servers, {}),
    (
        "KeyRevocationCheck",
        trust_old_config,
        revoke_key_while_one_vm_is_cut_off,
        {"seconds": 14.0},
    ),
    ("KeyRevocationCheck", never_learn_config, revoke_key, {}),
    ("NoKeyRollbackCheck", go_back_to_older_config, revoke_key, {"load": 2.0}),
    ("GracefulStopCheck", stop_at_once, stop_one_vm, {}),
    ("CancellationCheck", keep_running, slow_down_engines, {"disconnect_share": 0.5}),
    ("QuotaCheck", charge_nothing, no_fault, {"quota_factor": 0.3}),
    ("RetryLimitCheck", repeat_without_bound, fail_service_requests, {"load": 6.0}),
    ("QuarantineCheck", forget_crashes, send_poison_requests, {}),
    ("RecoveryCheck", never_ready, replace_all, {"seconds": 24.0}),
]


@pytest.mark.parametrize(
    ("check", "mutate", "fault", "options"),
    MUTATIONS,
    ids=[f"{check}-{mutate.__name__}" for check, mutate, _, _ in MUTATIONS],
)
def test_check_fails_without_its_mechanism(check, mutate, fault, options, monkeypatch):
    assert check not in find_failed_checks(fault, **options)
    mutate(monkeypatch)
    assert check in find_failed_checks(fault, **options)
