"""Command line: operator commands, requests and the entry VM's daemon."""

from ._cli import main
from ._rollout_orders import OrdersOpener, RolloutOrders

__all__ = ["OrdersOpener", "RolloutOrders", "main"]
