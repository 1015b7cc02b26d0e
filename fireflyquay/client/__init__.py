"""Client library for sending requests to entry VMs."""

from ._answer import Answer, EntriesUnreachable, RequestFailed, Token
from ._client import Client, RetryBudget
from ._directory import ListedEntry

__all__ = [
    "Answer",
    "Client",
    "EntriesUnreachable",
    "ListedEntry",
    "RequestFailed",
    "RetryBudget",
    "Token",
]
