"""Proofs of the promises: an oracle, scenarios and a state machine over fleets."""

from ._oracle import CHECKS, Check, Oracle
from ._sites import make_site

__all__ = ["CHECKS", "Check", "Oracle", "make_site"]
