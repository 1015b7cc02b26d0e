"""Signals that arrive before a process can handle them.

Imports nothing that takes time: a signal whose handler isn't set yet ends the process.
"""

import signal

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def defer_signals() -> None:
    """Keep signals pending until they are admitted."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def admit_signals() -> None:
    """Deliver pending and further signals."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
