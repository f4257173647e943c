"""The gateway: HTTP towards callers."""
