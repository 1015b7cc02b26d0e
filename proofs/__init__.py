"""Checks of the system's guarantees on emulated fleets: an oracle and scenarios."""

from ._check import Check
from ._oracle import CHECKS, Oracle
from ._request_checks import PriorityOrderCheck
from ._sites import make_site

__all__ = ["CHECKS", "Check", "Oracle", "PriorityOrderCheck", "make_site"]
