"""Implementations of the ports by libraries and the operating system."""
