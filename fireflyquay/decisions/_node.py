"""The node: one entry VM's decisions behind one small port."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence

import logbook

from fireflyquay.contracts._store_call import StoreAnswer, StoredValue
from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.membership._membership import Membership
from fireflyquay.membership._message import Message
from fireflyquay.world import (
    BackendServer,
    BackendServerId,
    Code,
    Contract,
    CustomerId,
    EntryVm,
    ExchangeId,
    FireflyquayError,
    Incarnation,
    Limits,
    MemberState,
    Request,
    RequestKey,
    Tier,
    TrailRecord,
    VmListing,
)

from ._action import (
    Record,
)
from ._admitter import Admitter
from ._allowance_holder import AllowanceHolder
from ._allowance_message import AllowanceMessage
from ._allowance_steward import AllowanceSteward
from ._arbiter_message import AskHome, HomeAnswer, WitnessAnswer
from ._arbiter_set import ArbiterSet
from ._backend_book import BackendBook
from ._book_sync import BookSync
from ._broker_duty import AskHeld, BrokerDuty
from ._cell_message import Deny, NotBroker, Permit
from ._closer import Closer
from ._closing_board import CLOSING_TAG, ClosingBoard
from ._contract_book import ContractBook
from ._exchange import FailureKind, RunReport
from ._exchange_table import ExchangeTable
from ._fleet_view import FleetView
from ._key_ownership import KeyOwnership
from ._ledger import Ledger
from ._node_settings import NodeSettings
from ._node_status import EntryList, NodeStatus
from ._peer_message import (
    BookMessage,
    BrokerMessage,
    MembershipMessage,
    WitnessMessage,
)
from ._permit_client import PermitClient
from ._quarantine import CrashReport, Quarantine
from ._recorder import Recorder
from ._request_flow import RequestFlow
from ._retry_budget import RetryBudget
from ._run_flow import RunFlow
from ._store_arbiter import CLAIM_TAG
from ._trail import Trail
from ._witness import Witness

DRAIN_LINGER_S = 2.0

_log = logbook.Logger("node")


class Node:
    """Take events with the loop's time; keep actions until they are taken."""

    def __init__(
        self,
        own: EntryVm,
        rng: random.Random,
        started_at: float,
        epoch_offset: float,
        settings: NodeSettings | None = None,
    ) -> None:
        settings = settings or NodeSettings()
        name = own.incarnation
        self._own = own
        self._rng = rng
        self._out: list[Action] = []
        self._membership = Membership(own, settings.membership, rng)
        self._fleet = FleetView(own, self._membership, rng, started_at)
        self._contracts = ContractBook()
        self._backends = BackendBook()
        self._books = BookSync(
            name,
            self._membership,
            self._contracts,
            self._backends,
            settings.books,
            rng,
        )
        self._holder = AllowanceHolder(name, settings.allowances)
        self._steward = AllowanceSteward(name, settings.allowances)
        self._quarantine = Quarantine(name, settings.quarantine)
        self._trail = Trail(name, settings.trail)
        self._witness = Witness(name)
        self._ledger = Ledger()
        self._exchanges = ExchangeTable()
        self._arbiters = ArbiterSet(name)
        self._permits = PermitClient(self._fleet.choose_broker)
        self._duty = BrokerDuty(name, settings.cells, self._fleet.choose_broker)
        self._closings = ClosingBoard(name)
        # Messages that a decision could not take.
        self.rejected_messages = 0
        retries = RetryBudget(settings.retries)
        self._make_flows(Recorder(name, epoch_offset), retries)
        self._draining_since: float | None = None

    def _make_flows(self, recorder: Recorder, retries: RetryBudget) -> None:
        admitter = Admitter(self._contracts, self._holder, self._quarantine)
        closer = Closer(
            self._ledger, self._exchanges, self._arbiters, recorder, admitter.end
        )
        self._runs = RunFlow(
            self._ledger,
            self._exchanges,
            self._arbiters,
            recorder,
            closer,
            admitter,
            self._permits,
            self._quarantine,
            retries,
            self._find_backend,
        )
        self._owners = KeyOwnership(
            self._own.incarnation,
            self._fleet,
            self._ledger,
            self._exchanges,
            self._arbiters,
            recorder,
            closer,
            admitter,
            self._runs,
        )
        self._requests = RequestFlow(
            self._own.incarnation,
            self._fleet,
            self._ledger,
            self._exchanges,
            recorder,
            closer,
            self._owners,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether contracts are known and callers are welcome."""
        return self._books.ready and self._draining_since is None

    def take_actions(self) -> list[Action]:
        """Return the actions to carry out, and forget them."""
        actions, self._out = self._out, []
        return actions

    def start(self, now: float) -> None:
        """Begin to look for peers and contracts."""
        self._put(now, self._books.start(now))

    def seed_members(self, now: float, listings: Sequence[VmListing]) -> None:
        """Take in the platform's lagging list of VMs."""
        self._put(now, self._membership.seed(now, listings))

    def advance(self, now: float) -> None:
        """Let time pass in all parts."""
        self._put(now, self._membership.advance(now))
        self._follow_members(now)
        self._put(now, self._books.advance(now))
        self._advance_limits(now)
        self._put(now, self._closings.advance(now, self._duty.list_brokers()))
        self._put(now, self._duty.advance(now))
        self._put(now, self._permits.advance(now))
        self._put(now, self._owners.advance(now))
        self._spread_crashes(now)
        self._put(now, self._trail.advance(now))

    def receive(self, now: float, sender: Incarnation, message: Message) -> None:
        """Take a message from an entry VM; reject one that makes no sense."""
        try:
            self._put(now, self._handle(now, sender, message))
        except (ArithmeticError, LookupError, TypeError, ValueError) as error:
            self.rejected_messages += 1
            name = type(message).__name__
            _log.warning("Rejected {} from {}: {!r}.", name, sender, error)

    def publish(self, now: float, stored: StoredValue) -> None:
        """Put in force and pass on a value that the store has accepted."""
        self._put(now, self._books.publish(now, stored))
        self._follow_members(now)

    def receive_store_answer(self, now: float, tag: str, answer: StoreAnswer) -> None:
        """Take the store's answer to a call."""
        if tag.startswith(CLAIM_TAG):
            actions = self._arbiters.store.receive_store_answer(now, tag, answer)
            self._put(now, actions)
        elif tag.startswith(CLOSING_TAG):
            self._closings.receive_store_answer(now, tag, answer)
        elif tag.startswith("trail:"):
            self._trail.receive_store_answer(now, tag, answer)
        else:
            self._put(now, self._books.receive_store_answer(now, tag, answer))
            self._follow_members(now)

    def receive_request(
        self, now: float, request: Request, is_home_unreachable: bool = False
    ) -> None:
        """Take a request from a caller."""
        actions = self._requests.receive_request(now, request, is_home_unreachable)
        self._put(now, actions)

    def note_first_token(self, now: float, exchange: ExchangeId) -> None:
        """Note that a run began to answer."""
        self._runs.note_first_token(now, exchange)

    def note_finished(
        self, now: float, exchange: ExchangeId, report: RunReport
    ) -> None:
        """Note that a run's whole answer has come."""
        self._put(now, self._runs.note_finished(now, exchange, report))

    def note_failed(
        self, now: float, exchange: ExchangeId, kind: FailureKind, has_streamed: bool
    ) -> None:
        """Note that a run broke."""
        self._put(now, self._runs.note_failed(now, exchange, kind, has_streamed))

    def note_caller_gone(self, now: float, exchange: ExchangeId) -> None:
        """Note that nobody reads an exchange's answer any more."""
        self._put(now, self._runs.note_caller_gone(now, exchange))

    def begin_drain(self, now: float) -> None:
        """Leave the fleet: take nothing new, end what is in progress."""
        if self._draining_since is not None:
            return
        self._draining_since = now
        self._requests.is_draining = True
        self._put(now, self._membership.leave(now))

    def is_drained(self, now: float) -> bool:
        """Tell whether nothing is in progress and peers had time to notice."""
        since = self._draining_since
        if since is None or now < since + DRAIN_LINGER_S:
            return False
        return len(self._exchanges) == 0

    def flush_trail(self, now: float) -> None:
        """Write the rest of the trail."""
        self._put(now, self._trail.finish(now))

    def find_contract(self, token: str) -> Contract:
        """Return the contract of a bearer token; raise UNKNOWN_CUSTOMER."""
        if not self._books.ready:
            raise FireflyquayError(Code.NOT_READY, "Contracts are not known yet.")
        record = self._contracts.find_by_token(token)
        if record is None:
            raise FireflyquayError(Code.UNKNOWN_CUSTOMER, "The token is not known.")
        return record.contract

    def make_key(self, now: float) -> RequestKey:
        """Return a fresh key homed here."""
        return self._fleet.make_key(now)

    def find_vm(self, incarnation: Incarnation) -> EntryVm | None:
        """Return where an entry VM is reached, or None."""
        return self._fleet.find_vm(incarnation)

    def list_entries(self, now: float, zone: str | None) -> EntryList:
        """Return the addresses that callers may use, best first."""
        return self._fleet.list_entries(now, zone or self._own.zone)

    def trace(self, key: RequestKey) -> tuple[TrailRecord, ...]:
        """Return the decisions on a key that are still in memory."""
        return self._trail.find(key)

    def describe(self, now: float) -> NodeStatus:
        """Return this entry VM's state for operators."""
        return NodeStatus(
            incarnation=self._own.incarnation,
            zone=self._own.zone,
            uptime=self._fleet.read_uptime(now),
            is_ready=self.is_ready,
            is_draining=self._draining_since is not None,
            witness=self._fleet.witness,
            members={s.value: n for s, n in self.count_members().items()},
            lost=self._membership.unconfirmed_lost(now),
            contracts=self._contracts.list_versions(),
            backends=self._backends.list_states(),
            queued={t.name: n for t, n in self.count_queued().items()},
            in_flight={t.name: n for t, n in self.count_in_flight().items()},
            keys=len(self._ledger),
            witnessed_keys=len(self._witness),
            rejected_messages=self.rejected_messages,
        )

    def count_queued(self) -> dict[Tier, int]:
        """Count wants queued at the brokers here, by tier."""
        return self._duty.count_queued()

    def count_in_flight(self) -> dict[Tier, int]:
        """Count requests running from here, by tier."""
        return self._exchanges.count_running()

    def count_members(self) -> dict[MemberState, int]:
        """Count members by believed state."""
        return self._fleet.count_members()

    def _handle(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]:
        match message:
            case WitnessAnswer():
                return self._owners.receive_arbiter_answer(now, sender, message)
            case Permit():
                return self._runs.receive_permit(now, message)
            case Deny():
                return self._runs.receive_denial(now, message)
            case NotBroker():
                self._permits.note_no_broker(now, message)
                return []
            case AskHeld():
                return self._permits.answer_held(sender, message.pool)
            case AskHome():
                return self._owners.receive_home_question(now, sender, message)
            case HomeAnswer():
                return self._owners.receive_home_answer(now, sender, message)
            case CrashReport():
                self._quarantine.receive(now, message)
                return []
        return self._handle_duty(now, sender, message)

    def _handle_duty(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]:
        if isinstance(message, WitnessMessage):
            return [Send(sender, self._witness.receive(now, sender, message))]
        if isinstance(message, BrokerMessage):
            return self._duty.receive(now, sender, message)
        if isinstance(message, MembershipMessage):
            return self._membership.receive(now, sender, message)
        if isinstance(message, BookMessage):
            return self._books.receive(now, sender, message)
        if isinstance(message, AllowanceMessage):
            return self._handle_allowance(now, sender, message)
        return []

    def _handle_allowance(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]:
        actions = self._holder.receive(now, sender, message, self._find_limits)
        live = frozenset(self._fleet.list_workers())
        return actions + self._steward.receive(
            now, sender, message, self._find_limits, live
        )

    def _put(self, now: float, actions: Sequence[Action]) -> None:
        waiting = deque(actions)
        while waiting:
            action = waiting.popleft()
            if isinstance(action, Record):
                self._trail.add(action.record)
            if isinstance(action, Send) and action.peer == self._own.incarnation:
                waiting.extend(self._handle(now, action.peer, action.message))
                continue
            self._out.append(action)

    def _follow_members(self, now: float) -> None:
        for incarnation, _change in self._membership.drain_changes():
            if not self._fleet.is_live(incarnation):
                self._put(now, self._duty.forget_holder(now, incarnation))
        self._fleet.update_witness(now)
        load = len(self._exchanges) / 1000
        uptime = self._fleet.read_uptime(now)
        self._membership.describe_own(self._fleet.witness, uptime, load)
        is_split = bool(self._membership.unconfirmed_lost(now))
        pools = {pool: self._backends.servers(pool) for pool in self._backends.pools()}
        self._duty.update(now, pools, self._fleet.list_workers(), is_split)
        self._put(now, self._permits.update_brokers(now, set(pools)))

    def _advance_limits(self, now: float) -> None:
        live = frozenset(self._fleet.list_workers())
        lost = frozenset(self._membership.unconfirmed_lost(now))
        steward_of = self._fleet.choose_steward
        if self._draining_since is not None and len(self._exchanges) == 0:
            self._put(now, self._holder.leave(now, live))
        self._put(now, self._holder.advance(now, steward_of, live | lost))
        self._put(now, self._steward.advance(now, live, self._find_limits))

    def _spread_crashes(self, now: float) -> None:
        reports = self._quarantine.drain_reports()
        if not reports:
            return
        for peer in self._fleet.list_workers():
            if peer == self._own.incarnation:
                continue
            self._put(now, [Send(peer, report) for report in reports])

    def _find_backend(self, server: BackendServerId) -> BackendServer | None:
        record = self._backends.get(server)
        return None if record is None else record.backend

    def _find_limits(self, customer: CustomerId) -> Limits | None:
        record = self._contracts.get(customer)
        return None if record is None else record.contract.limits
