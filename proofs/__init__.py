"""Proofs of the promises: an oracle, scenarios and a state machine over fleets."""

from ._oracle import CHECKS, Check, Oracle

__all__ = ["CHECKS", "Check", "Oracle"]
