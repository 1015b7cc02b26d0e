"""Command line: operator commands, requests and the entry VM's daemon."""

from ._cli import main

__all__ = ["main"]
