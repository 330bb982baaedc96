"""The tool `pepperstep-measure`: measures by subcommand."""

import sys
from collections.abc import Callable

from absl import app, logging

__all__ = ["main"]


def _ablation() -> Callable:
    from measure import ablation

    return ablation.main


def _policies() -> Callable:
    from measure import policies

    return policies.main


def _capacity() -> Callable:
    from measure import capacity

    return capacity.main


def _log() -> Callable:
    from measure import log

    return log.main


def _placement() -> Callable:
    from measure import placement

    return lambda arguments: placement.main()


def _relay() -> Callable:
    from measure import relay

    return relay.main


def _relaying() -> Callable:
    from measure import relaying

    return lambda arguments: relaying.main()


def _routing() -> Callable:
    from measure import routing

    def run(arguments: list[str]) -> None:
        sys.argv = arguments
        routing.main()

    return run


def _site_play() -> Callable:
    from measure import site_play

    return site_play.main


# Each imports its module only when it's asked for, as flags are global.
_COMMANDS = {
    "ablation": _ablation,
    "capacity": _capacity,
    "log": _log,
    "placement": _placement,
    "policies": _policies,
    "relay": _relay,
    "relaying": _relaying,
    "routing": _routing,
    "site-play": _site_play,
}


def main() -> None:
    """Run the subcommand that the first argument names."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in _COMMANDS:
        names = ", ".join(_COMMANDS)
        sys.exit(f"usage: pepperstep-measure COMMAND [FLAGS]; one of {names}")
    command = _COMMANDS[name]()
    logging.set_verbosity(logging.WARNING)
    app.run(command, argv=[f"pepperstep-measure {name}", *sys.argv[2:]])


if __name__ == "__main__":
    main()
