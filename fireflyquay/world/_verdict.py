"""Execution status of a request."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """State whether a request has run, or may have run, on a backend server."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"
