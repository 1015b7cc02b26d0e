"""Verdict of whether a request may have run."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"
