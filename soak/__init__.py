"""Seeded fault soak: real daemons, callers and upstreams under series of faults."""
