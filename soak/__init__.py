"""Randomized soak test of real gateway processes under faults.

A worker is a backend server, as the platform names it.
"""
