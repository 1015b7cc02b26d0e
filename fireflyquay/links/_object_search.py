"""Search for the objects in a list of which a part is no JSON."""

from __future__ import annotations

import itertools
import json
import re
from collections.abc import Sequence
from contextlib import suppress

# Start of any object that follows another value.
NEXT_OBJECT = re.compile(r',\s*(?=\{\s*")')
# Bound the time that a list takes, whatever it holds: the parts that are tried in vain,
# and the characters that these attempts read.
MAX_FAILED_PARTS = 300
MAX_FAILED_CHARS = 1 << 22
# Characters that an attempt counts as if it doesn't tell where it failed: brackets are
# nested too deeply, or an integer has too many digits.
UNLOCATED_FAILURE_CHARS = 1 << 16


class ObjectSearch:
    """Find the objects in a list that isn't JSON, with a bound on the work.

    What is malformed may cost itself, and never the objects beside it. One of the given
    fields comes first in each object.
    """

    def __init__(self, fields: Sequence[str]) -> None:
        names = "|".join(map(re.escape, fields))
        # Start of such an object that follows another one.
        self._next = re.compile(rf',\s*(?=\{{\s*"(?:{names})"\s*:)')
        self._decoder = json.JSONDecoder()
        # What further attempts may cost.
        self._failures_left = MAX_FAILED_PARTS
        self._chars_left = MAX_FAILED_CHARS

    def find(self, data: bytes) -> list[bytes]:
        """Return the objects in data, as far as they can be told apart."""
        text = data.decode(errors="surrogateescape").lstrip()
        objects: list[str] = []
        begin = 0
        while self._failures_left > 0 and self._chars_left > 0:
            end = self._find_end(text, begin)
            if end is not None:
                objects.append(text[begin:end])
            # What looks like a string may reach into the next item.
            following = NEXT_OBJECT.search(text, begin if end is None else end)
            if following is None:
                break
            begin = following.end()
        else:
            objects += self._find_delimited(text[begin:])
        return [it.encode(errors="surrogateescape") for it in objects]

    def _find_end(self, text: str, begin: int) -> int | None:
        """Return the end of the object that begins at an offset; None if none does."""
        try:
            value, end = self._decoder.raw_decode(text, begin)
        except json.JSONDecodeError as error:
            self._chars_left -= error.pos - begin
        except (RecursionError, ValueError):
            self._chars_left -= UNLOCATED_FAILURE_CHARS
        else:
            if isinstance(value, dict):
                return end
        self._failures_left -= 1
        return None

    def _find_delimited(self, text: str) -> list[str]:
        """Return the objects that end before the next one begins.

        Reads each character once, so that this needs no bound.
        """
        starts = [0, *(it.end() for it in self._next.finditer(text)), len(text)]
        objects = []
        for begin, end in itertools.pairwise(starts):
            part = text[begin:end]
            with suppress(ValueError, RecursionError):
                value, length = self._decoder.raw_decode(part)
                if isinstance(value, dict):
                    objects.append(part[:length])
        return objects
