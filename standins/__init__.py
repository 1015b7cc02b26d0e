"""Stand-ins of outside systems for tests; not part of the product."""

from ._loopback import PortReservation, wait_until

__all__ = ["PortReservation", "wait_until"]
