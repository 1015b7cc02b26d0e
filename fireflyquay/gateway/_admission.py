"""Whether a request may be served under the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.dispatch import ConfigBook
from fireflyquay.world import ClientAccount, Code, FireflyquayError, Route

from ._dialect import RequestMetadata

# Seconds after which a client is asked to try a VM whose configuration is stale again:
# about as long as a short cut from the store lasts.
STALE_RETRY_AFTER_SECONDS = 0.5


class Rejected(FireflyquayError):  # noqa: N818
    """Tell why a request is not run, and when to come back."""

    def __init__(
        self, code: Code, sentence: str, retry_after: float | None = None
    ) -> None:
        super().__init__(code, sentence)
        # Seconds; None if coming back is of no use.
        self.retry_after = retry_after


@dataclass(frozen=True, slots=True)
class Admission:
    """Hold what the configuration says of a request."""

    route: Route
    # None on public routes, and where requests carry no keys.
    account: ClientAccount | None
    # What it was judged by.
    version: int
    config_age: float


def admit(
    book: ConfigBook, metadata: RequestMetadata, now: float, max_age: float
) -> Admission:
    """Return how a request is to be served; raise Rejected if it is not.

    Times are in seconds on the clock of the book's proofs.
    """
    age = book.measure_age(now)
    if book.config is None:
        raise Rejected(
            Code.NOT_READY, "No configuration is known yet.", STALE_RETRY_AFTER_SECONDS
        )
    if age > max_age:
        sentence = f"The configuration was last proven current {age:.1f} s ago."
        raise Rejected(Code.STALE_CONFIG, sentence, STALE_RETRY_AFTER_SECONDS)
    route = book.find_route(metadata.host, metadata.path)
    if route is None:
        raise Rejected(Code.UNKNOWN_ROUTE, "No route has this host and path.")
    account = None
    if book.config.accounts and not route.is_public:
        account = book.find_account(metadata.api_key)
        if account is None:
            raise Rejected(Code.UNKNOWN_API_KEY, "No client account holds the key.")
        _check_account(account, route)
    return Admission(route, account, book.version, age)


def _check_account(account: ClientAccount, route: Route) -> None:
    if not account.is_active:
        raise Rejected(Code.CONTRACT_ENDED, "The contract has ended.")
    ranks = account.route_ranks
    if ranks is not None and route.name not in ranks:
        sentence = f"The contract does not cover {route.name}."
        raise Rejected(Code.KIND_NOT_IN_CONTRACT, sentence)
