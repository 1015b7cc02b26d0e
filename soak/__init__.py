"""A randomized soak of the real program: processes, signals, relays, checks."""
