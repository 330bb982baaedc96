"""Entry point of `pepperstep`: dispatches commands and maps errors to exit codes."""

import sys
from collections.abc import Callable, Sequence

from pepperstep.cli import causes, documents, hosts, logs, requests
from pepperstep.cli.exits import CommandError, Exit, exit_code_for
from pepperstep.cli.help import command_help, tool_help
from pepperstep.cli.options import Options, parse_options
from pepperstep.cli.printing import Output
from pepperstep.errors import Failure, InvalidDocument

__all__ = ["main"]

_Command = Callable[[Options, Output], Exit]

_COMMANDS: dict[str, _Command] = {
    "check": documents.check,
    "apply": documents.apply,
    "show": documents.show,
    "status": hosts.status,
    "hosts": hosts.hosts,
    "upstreams": hosts.upstreams,
    "drain": hosts.drain,
    "events": hosts.events,
    "explain": requests.explain,
    "causes": causes.causes,
    "logs": logs.logs,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the tool and return its exit code; see `Exit`."""
    given = sys.argv[1:] if arguments is None else arguments
    try:
        return _run(parse_options(given))
    except CommandError as command_error:
        return _fail(command_error.code, command_error.text)
    except InvalidDocument as error:
        return _fail(Exit.INVALID, error.text)
    except Failure as failure:
        return _fail(exit_code_for(failure), f"{failure.text} ({failure.code})")
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe.
        sys.stderr.close()
        return Exit.OK
    except KeyboardInterrupt:
        return _fail(Exit.INTERNAL, "Interrupted.")
    except Exception as error:
        text = f"Internal error: {type(error).__name__}: {error}. Please report it."
        return _fail(Exit.INTERNAL, text)


def _run(options: Options) -> int:
    name = options.command
    if name in ("", "help"):
        name = options.arguments[0] if options.arguments else ""
        options_help = command_help(name) if name in _COMMANDS else tool_help()
        sys.stdout.write(options_help)
        return Exit.OK if options.wants_help or options.command else Exit.USAGE
    command = _COMMANDS.get(name)
    if command is None:
        text = f"No command {name}; there are: {', '.join(_COMMANDS)}."
        raise CommandError(Exit.USAGE, f"{text} See `pepperstep --help`.")
    if options.wants_help:
        sys.stdout.write(command_help(name))
        return Exit.OK
    return command(options, Output(options.is_json))


def _fail(code: Exit, text: str) -> int:
    lines = text.splitlines() or [""]
    sys.stderr.write("".join(f"pepperstep: {line}\n" for line in lines))
    return code
