"""Hosts and daemons, assembled from components and adapters."""
