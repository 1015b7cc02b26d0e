"""Demonstration of the platform: gateway processes, one of which is killed."""
