"""What commands need of the platform, which its program passes in."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fireflyquay.world import FleetConfig

if TYPE_CHECKING:
    from fireflyquay.links import HttpClient

    from ._rollout_orders import RolloutOrders


@dataclass(frozen=True, slots=True)
class PlatformAccess:
    """Give commands access to the platform's store and formats."""

    # Opens the orders of roll-outs in the store at a host and port, with a timeout in
    # seconds for each request.
    open_orders: Callable[[HttpClient, str, int, float], RolloutOrders]
    # Decodes a configuration; raises one of DECODE_ERRORS if it is invalid.
    decode_config: Callable[[bytes], FleetConfig]
    # Returns place and cause of the entries that the decoded configuration lacks.
    list_ignored: Callable[[bytes], list[tuple[str, str]]]
