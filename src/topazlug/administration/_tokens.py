"""API keys of callers and tokens of operators, stored only as hashes.

The secrets have 256 random bits, so a plain SHA-256 can't be reversed by
guessing.
"""

import hashlib
import secrets

HASH_LENGTH = 64
_KEY_PREFIX = "tzk_"
_TOKEN_PREFIX = "tzo_"
_RANDOM_BYTES = 32


def new_key() -> str:
    """Return a new API key for a team."""
    return _KEY_PREFIX + secrets.token_urlsafe(_RANDOM_BYTES)


def new_token() -> str:
    """Return a new token for an operator."""
    return _TOKEN_PREFIX + secrets.token_urlsafe(_RANDOM_BYTES)


def hash_of(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def new_edit_id() -> str:
    """Return a new id, with which an edit can be repeated safely."""
    return secrets.token_hex(16)


def parse_bearer(authorization: str) -> str:
    """Return the secret of an ``Authorization: Bearer`` header, or empty."""
    scheme, _, secret = authorization.strip().partition(" ")
    return secret.strip() if scheme.lower() == "bearer" else ""
