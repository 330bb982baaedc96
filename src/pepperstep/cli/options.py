"""Parser of the command line: flags, command and arguments."""

import os
import textwrap
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from absl import flags

from pepperstep.cli.exits import CommandError, Exit

__all__ = ["DEFAULT_SERVER", "Options", "flag_help", "parse_options"]

DEFAULT_SERVER = "http://127.0.0.1:8080"
KEY_VARIABLE = "PEPPERSTEP_KEY"
SERVER_VARIABLE = "PEPPERSTEP_SERVER"

_FLAG_HELP = {
    "server": "URL of an entry host. Give it more than once, or several by commas;"
    f" the next one is asked if one can't be reached. Else ${SERVER_VARIABLE}, else"
    f" {DEFAULT_SERVER}.",
    "key": f"Your key. Else --key_file, else ${KEY_VARIABLE}.",
    "key_file": "File that holds your key.",
    "authority": "PEM file of the authority of the servers' certificates, for https.",
    "json": "Print JSON for programs.",
    "help": "Tell how the tool or a command is used.",
    "change_id": "apply: Id of the change. Give the printed one again to resend a"
    " change whose answer was lost. Random by default.",
    "from_revision": "apply: Revision at which you read the document; the current one"
    " by default.",
    "document": "show: Print this document's text instead.",
    "after": "events: Only those with a higher id.",
    "limit": "events: At most so many; 100 by default.",
}


@dataclass(frozen=True, slots=True)
class Options:
    """Parsed command line."""

    command: str
    arguments: tuple[str, ...]
    servers: tuple[str, ...]
    key: str
    # PEM file of the authority that signed the servers' certificates.
    authority: str
    is_json: bool
    wants_help: bool
    change_id: str
    from_revision: int | None
    document: str
    after: int | None
    limit: int


def parse_options(arguments: Sequence[str]) -> Options:
    """Parse the command line; raise `CommandError` for invalid arguments."""
    values = _define_flags()
    try:
        positional = values(["pepperstep", *arguments])[1:]
    except flags.Error as error:
        first_line = str(error).splitlines()[0]
        raise CommandError(
            Exit.USAGE, f"{first_line} See `pepperstep --help`."
        ) from error
    servers = _servers(values.server)
    return Options(
        command=positional[0] if positional else "",
        arguments=tuple(positional[1:]),
        servers=servers,
        key=_key(values.key, values.key_file),
        authority=values.authority,
        is_json=values.json,
        wants_help=values.help,
        change_id=values.change_id,
        from_revision=values.from_revision,
        document=values.document,
        after=values.after,
        limit=values.limit,
    )


def flag_help() -> str:
    """Return the help text of all flags."""
    values = _define_flags()
    return "\n".join(
        textwrap.fill(
            f"  --{name}: {_FLAG_HELP[name]}", width=80, subsequent_indent=" " * 6
        )
        for name in _FLAG_HELP
        if name in values
    )


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    values.set_gnu_getopt(True)

    def define(kind, name: str, default, **options) -> None:
        kind(name, default, _FLAG_HELP[name], flag_values=values, **options)

    define(flags.DEFINE_multi_string, "server", [])
    define(flags.DEFINE_string, "key", "")
    define(flags.DEFINE_string, "key_file", "")
    define(flags.DEFINE_string, "authority", "")
    define(flags.DEFINE_bool, "json", False)
    define(flags.DEFINE_bool, "help", False)
    define(flags.DEFINE_string, "change_id", "")
    define(flags.DEFINE_integer, "from_revision", None, lower_bound=0)
    define(flags.DEFINE_string, "document", "")
    define(flags.DEFINE_integer, "after", None, lower_bound=0)
    define(flags.DEFINE_integer, "limit", 100, lower_bound=1)
    return values


def _servers(given: Sequence[str]) -> tuple[str, ...]:
    texts = given or [os.environ.get(SERVER_VARIABLE) or DEFAULT_SERVER]
    urls = [url.strip().rstrip("/") for text in texts for url in text.split(",")]
    urls = [url for url in urls if url]
    for url in urls:
        if not url.startswith(("http://", "https://")):
            text = f"--server {url} is no URL; give one like {DEFAULT_SERVER}."
            raise CommandError(Exit.USAGE, text)
    return tuple(urls)


def _key(key: str, key_file: str) -> str:
    if key_file and not key:
        try:
            key = Path(key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            text = f"--key_file {key_file} can't be read: {_reason(error)}."
            raise CommandError(Exit.USAGE, text) from error
    key = key or os.environ.get(KEY_VARIABLE, "")
    if not (key.isascii() and key.isprintable()):
        raise CommandError(Exit.USAGE, "The key must be visible ASCII characters.")
    return key


def _reason(error: Exception) -> str:
    return getattr(error, "strerror", None) or "it is no text"
