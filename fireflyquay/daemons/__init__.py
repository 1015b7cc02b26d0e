"""Command line: operator commands, requests and the entry VM's daemon."""

from ._cli import main
from ._platform_access import PlatformAccess
from ._rollout_orders import RolloutOrders

__all__ = ["PlatformAccess", "RolloutOrders", "main"]
