"""Client library: sends requests to the entry VMs and reads their answers."""

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
