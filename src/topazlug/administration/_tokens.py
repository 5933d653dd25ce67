"""Secrets that callers and operators show, of which only hashes are kept.

The secrets are 256 random bits, so a plain SHA-256 can't be guessed back.
"""

import hashlib
import secrets

HASH_LENGTH = 64
_KEY_PREFIX = "tzk_"
_TOKEN_PREFIX = "tzo_"
_RANDOM_BYTES = 32


def new_key() -> str:
    """Make an API key of a team."""
    return _KEY_PREFIX + secrets.token_urlsafe(_RANDOM_BYTES)


def new_token() -> str:
    """Make a token of an operator."""
    return _TOKEN_PREFIX + secrets.token_urlsafe(_RANDOM_BYTES)


def hash_of(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_edit_id() -> str:
    """Make an id under which an edit can be repeated safely."""
    return secrets.token_hex(16)


def bearer_of(authorization: str) -> str:
    """Return the secret of an ``Authorization: Bearer`` header, or nothing."""
    scheme, _, secret = authorization.strip().partition(" ")
    return secret.strip() if scheme.lower() == "bearer" else ""
