"""Stand-ins of outside systems for tests; not part of the product."""

from ._loopback import find_free_port, wait_until

__all__ = ["find_free_port", "wait_until"]
