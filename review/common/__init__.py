"""Helpers of the review's scripts: gateways as processes, and a raw client."""
