"""Tests of the headers of requests that daemons send to each other."""

import pytest

from topazlug import _errors
from topazlug._generated import messages
from topazlug.delegation import _delegation_wire

CALL = messages.DelegatedCall(
    remaining=0.75, replicas=2, table=9, counted=True
)


def fields_of(*values):
    return [(_delegation_wire.CALL, value) for value in values]


class TestDecode:
    def test_what_was_encoded(self):
        fields = fields_of(_delegation_wire.encode(CALL))
        assert _delegation_wire.decode(fields) == CALL

    @pytest.mark.parametrize(
        "values",
        [
            (),
            ("",),
            ("{}",),
            ('{"remaining":"x","replicas":1,"table":1}',),
            ("[" * 100000,),
            (_delegation_wire.encode(CALL),) * 2,
        ],
    )
    def test_invalid_header_is_rejected(self, values):
        with pytest.raises(_errors.BadHeader):
            _delegation_wire.decode(fields_of(*values))


class TestRequestFields:
    def test_fields_of_one_connection_are_not_sent(self):
        """A caller's framing of its body must not reach another daemon."""
        sent = _delegation_wire.request_fields(
            [
                ("Host", "chat.example"),
                ("Connection", "close"),
                ("Transfer-Encoding", "chunked"),
                ("Content-Length", "9"),
                ("Expect", "100-continue"),
                ("Authorization", "Bearer k"),
            ],
            CALL,
        )
        assert [name for name, _ in sent] == [
            "Host",
            "Authorization",
            _delegation_wire.CALL,
        ]

    def test_header_of_a_caller_is_replaced(self):
        """A caller could choose its deadline at the other daemon."""
        sent = _delegation_wire.request_fields(fields_of("forged"), CALL)
        assert sent == fields_of(_delegation_wire.encode(CALL))
