"""Check the limits against an oracle that sums what all holders admitted."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fireflyquay.decisions import (
    AllowanceSettings,
    compute_burst,
)
from fireflyquay.world import CustomerId, Limits
from measure._limit_fleet import LimitFleet, find_worst_window

SETTINGS = AllowanceSettings(longest_run=8.0, largest_request=400)
LIMITS = {
    CustomerId("large"): Limits(40.0, 4000.0, 12),
    CustomerId("small"): Limits(0.8, 100.0, 2),
}
CUSTOMERS = st.sampled_from(sorted(LIMITS))
PICK = st.integers(0, 99)


class AllowanceMachine(RuleBasedStateMachine):
    @initialize(nodes=st.integers(1, 4), seed=PICK, delay=st.sampled_from([0.01, 3.0]))
    def start(self, nodes, seed, delay):
        self.fleet = LimitFleet(SETTINGS, LIMITS, seed, delay, loss=0.05)
        self.names = [f"node{number}" for number in range(nodes)]
        for name in self.names:
            self.fleet.join(name)
        for name in self.names:
            self.fleet.nodes[name].known = set(self.names)
        self.fleet.run(5.0)

    def pick(self, number):
        return self.names[number % len(self.names)]

    def bring(self, names, customer, tokens, duration, steps):
        for _ in range(steps):
            for name in names:
                for _ in range(4):
                    self.fleet.request(name, customer, tokens, duration)
            self.fleet.step()

    @rule(
        numbers=st.lists(PICK, min_size=1, max_size=3),
        customer=CUSTOMERS,
        steps=st.integers(10, 60),
        tokens=st.sampled_from([1, 20, 400]),
        duration=st.sampled_from([0.01, 0.3, 7.9]),
    )
    def load_some(self, numbers, customer, steps, tokens, duration):
        names = sorted({self.pick(number) for number in numbers})
        self.bring(names, customer, tokens, duration, steps)

    @rule(
        customer=CUSTOMERS,
        steps=st.integers(10, 60),
        tokens=st.sampled_from([1, 20, 400]),
        duration=st.sampled_from([0.01, 0.3, 7.9]),
    )
    def load_all(self, customer, steps, tokens, duration):
        self.bring(self.names, customer, tokens, duration, steps)

    @rule(
        number=PICK,
        customer=CUSTOMERS,
        tokens=st.sampled_from([1, 20]),
        duration=st.sampled_from([0.01, 7.9]),
        seconds=st.floats(0.1, 8.0),
        is_cut=st.booleans(),
    )
    def lend_then_lose(self, number, customer, tokens, duration, seconds, is_cut):
        """Draw all to one node, part it from the rest, then load all."""
        name = self.pick(number)
        self.bring([name], customer, tokens, duration, 40)
        if is_cut:
            self.split_off(name)
            self.bring([name], customer, tokens, duration, 10)
        else:
            self.fleet.pause(name, seconds)
        others = [other for other in self.names if other != name]
        self.bring(others, customer, tokens, duration, round(seconds * 20))
        self.bring(self.names, customer, tokens, duration, 30)

    @rule(
        number=PICK,
        customer=CUSTOMERS,
        duration=st.sampled_from([0.01, 0.3, 7.9]),
        is_killed=st.booleans(),
        is_holder_lost=st.booleans(),
        steps=st.integers(0, 30),
    )
    def lend_then_lose_steward(
        self, number, customer, duration, is_killed, is_holder_lost, steps
    ):
        """Draw all to one node, lose the steward, then load another long enough
        that a successor takes over what the steward had lent."""
        name, other = self.pick(number), self.pick(number + 1)
        self.bring([name], customer, 1, duration, 40 + steps)
        steward = self.fleet.find_steward(name, customer)
        self.split_off(steward)
        self.bring([name, steward], customer, 1, 7.9, 10)
        if is_killed:
            self.fleet.kill(steward)
        if is_holder_lost:
            self.split_off(name)
        self.bring([other], customer, 1, 7.9, 120)
        self.bring(self.names, customer, 1, duration, 20)

    def split_off(self, name):
        for other in self.names:
            if other != name:
                self.fleet.cut(name, other)

    @rule(seconds=st.floats(0.1, 6.0))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @rule(number=PICK, seconds=st.floats(0.1, 8.0))
    def pause(self, number, seconds):
        self.fleet.pause(self.pick(number), seconds)

    @rule(one=PICK, other=PICK)
    def cut(self, one, other):
        if self.pick(one) != self.pick(other):
            self.fleet.cut(self.pick(one), self.pick(other))

    @rule(size=st.integers(1, 3))
    def split(self, size):
        for one in self.names[:size]:
            for other in self.names[size:]:
                self.fleet.cut(one, other)

    @rule()
    def heal(self):
        self.fleet.cuts.clear()

    @rule(number=PICK, lists_all=st.booleans())
    def join(self, number, lists_all):
        # Of a fleet that ended as a whole, a newcomer cannot know what still runs.
        if len(self.names) >= 7 or self.fleet.gone >= set(self.names):
            return
        name = f"node{len(self.names)}"
        self.fleet.join(name, None if lists_all else self.pick(number))
        self.names.append(name)

    @rule(number=PICK, is_confirmed=st.booleans())
    def kill(self, number, is_confirmed):
        self.fleet.kill(self.pick(number))
        if is_confirmed:
            self.fleet.confirm(self.pick(number))

    @rule(number=PICK, seconds=st.floats(0.1, 9.0))
    def leave(self, number, seconds):
        """Let one leave as planned; the platform confirms its end."""
        name = self.pick(number)
        self.fleet.leave(name)
        self.bring(self.names, CustomerId("large"), 1, 7.9, round(seconds * 20))
        self.fleet.kill(name)
        self.fleet.confirm(name)

    @invariant()
    def keeps_limits(self):
        if not hasattr(self, "fleet"):
            return
        for customer, limits in LIMITS.items():
            self.check(customer, limits)

    def check(self, customer, limits):
        burst = compute_burst(limits, SETTINGS)
        for seconds in (0.0, 1.0, 5.0, 20.0):
            requests, tokens = find_worst_window(self.fleet.admitted[customer], seconds)
            most = limits.requests_per_second * seconds + burst.requests
            assert requests <= most + 1e-6
            assert tokens <= limits.tokens_per_second * seconds + burst.tokens + 1e-6
        assert self.fleet.most_running[customer] <= limits.in_flight


TestAllowanceMachine = AllowanceMachine.TestCase
TestAllowanceMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=20
)
