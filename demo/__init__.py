"""Demo of the serving system, with real processes on this machine."""
