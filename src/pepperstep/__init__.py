"""Serving of language models and plain services on reclaimable hosts."""

__all__ = ["__version__"]

__version__ = "0.1.0"
