"""Gateways as processes before stand-ins, for the scripts of the second review."""

from ._fleet import Fleet, Record, run_case

__all__ = ["Fleet", "Record", "run_case"]
