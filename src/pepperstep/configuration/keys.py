"""Keys of callers, operators and upstreams, stored only as hashes.

A key is looked up by its hash, so the time of the lookup reveals nothing about
the key. The match is then compared in constant time.
"""

import hashlib
import hmac

from pepperstep.configuration.schema import BASE, Caller, Configuration

__all__ = [
    "find_caller",
    "find_operator",
    "hash_key",
    "is_upstream_key",
    "may_change",
]


def hash_key(key: str) -> str:
    """Return a key's SHA-256 in hexadecimal."""
    return hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()


def find_caller(configuration: Configuration, key: str) -> Caller | None:
    """Return the caller with the key `key`, None if there is none."""
    key_hash = hash_key(key)
    name = configuration.callers_by_key.get(key_hash)
    if name is None:
        return None
    caller = configuration.callers[name]
    return caller if hmac.compare_digest(caller.key_sha256, key_hash) else None


def find_operator(configuration: Configuration, key: str) -> str | None:
    """Return the name of the operator with the key `key`, None if there is none."""
    key_hash = hash_key(key)
    name = configuration.operators_by_key.get(key_hash)
    if name is None:
        return None
    stored = configuration.operators[name].key_sha256
    return name if hmac.compare_digest(stored, key_hash) else None


def is_upstream_key(configuration: Configuration, key: str) -> bool:
    """Whether upstreams may announce themselves with `key`."""
    key_hash = hash_key(key)
    matches = [
        hmac.compare_digest(stored, key_hash) for stored in configuration.upstream_keys
    ]
    return any(matches)


def may_change(
    configuration: Configuration, operator: str, site: str, document: str
) -> bool:
    """Whether `operator` of `site` may change the base or a site's overlay."""
    entry = configuration.operators.get(operator)
    if entry is None or configuration.operator_sites.get(operator) != site:
        return False
    if document == BASE:
        return entry.may_change_base
    return bool(site) and site == document
