"""Frames between daemons."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgpack
import pytest

from topazlug import _errors
from topazlug._generated import messages
from topazlug.peers import _peer_codec

LIMIT = 4096

_numbers = strategies.integers(min_value=0, max_value=2**64 - 1)
_names = strategies.text(max_size=30)
_facts = strategies.builds(
    messages.Fact,
    kind=strategies.sampled_from(messages.FactKind),
    subject=_names,
    incarnation=_numbers,
    sequence=_numbers,
    state=strategies.sampled_from(messages.FactState),
    host=_names,
    port=strategies.integers(0, 65535),
    zone=_names,
)
_messages = strategies.one_of(
    strategies.builds(
        messages.Exchange,
        facts=strategies.lists(_facts, max_size=5),
        digest=_numbers,
        revision=_numbers,
        want_all=strategies.booleans(),
    ),
    strategies.builds(messages.ConfigPull, after=_numbers),
    strategies.builds(messages.Ack),
)


def packed(*frames: object) -> bytes:
    """Return a batch of frames that this codec did not encode."""
    return msgpack.packb(frames)


class TestRoundTrip:
    """Decoding returns what was encoded."""

    @settings(max_examples=200, deadline=None)
    @given(
        sent=strategies.lists(
            strategies.tuples(_messages, strategies.integers(-9, 9)),
            max_size=5,
        )
    )
    def test_batch(self, sent):
        frames = [
            _peer_codec.encode(message, call=call, max_bytes=LIMIT)
            for message, call in sent
        ]
        decoded = _peer_codec.decode(_peer_codec.join(frames))
        assert [(frame.message, frame.call) for frame in decoded] == sent

    def test_refusal_answers_the_request(self):
        batch = _peer_codec.join([_peer_codec.encode_refusal(7)])
        assert _peer_codec.decode(batch) == [
            _peer_codec.Frame(kind="refused", call=-7, message=None)
        ]


class TestOtherVersions:
    """Messages of a newer version are decoded as far as possible."""

    def test_unknown_kind_has_no_message(self):
        (frame,) = _peer_codec.decode(packed(["Novelty", 3, {"a": [1]}]))
        assert (frame.kind, frame.call, frame.message) == ("Novelty", 3, None)

    def test_unknown_field_is_skipped(self):
        batch = packed(["ConfigPull", 0, {"after": 4, "new": {"x": []}}])
        (frame,) = _peer_codec.decode(batch)
        assert frame.message == messages.ConfigPull(after=4)

    def test_additional_element_is_skipped(self):
        batch = packed(["ConfigPull", 0, {"after": 4}, "more"])
        (frame,) = _peer_codec.decode(batch)
        assert frame.message == messages.ConfigPull(after=4)


class TestInvalid:
    """Invalid frames raise `PeerMessageInvalid`."""

    @settings(max_examples=200, deadline=None)
    @given(data=strategies.binary(max_size=200))
    def test_any_bytes(self, data):
        try:
            _peer_codec.decode(data)
        except _errors.PeerMessageInvalid:
            pass

    @pytest.mark.parametrize(
        "batch",
        [
            packed(["ConfigPull", 0, {"after": "x"}]),
            packed(["ConfigPull", 0, {}]),
            packed(["Verdict", 0]),
            packed("ConfigPull"),
            packed(["ConfigPull", 0, {"after": 4}]) + b"\x00",
            b"\x91" * 100000,
            b"\x91\x93\xa4Nope\x00" + b"\x91" * 100000 + b"\x90",
            b"\xdd\xff\xff\xff\xff",
        ],
        ids=[
            "type",
            "missing",
            "short",
            "string",
            "trailing",
            "deep",
            "deep-unknown",
            "length",
        ],
    )
    def test_raises(self, batch):
        with pytest.raises(_errors.PeerMessageInvalid):
            _peer_codec.decode(batch)

    def test_too_large_fails_at_the_sender(self):
        asks = messages.Release(asks=list(range(LIMIT)))
        with pytest.raises(_errors.PeerMessageInvalid, match="max_frame"):
            _peer_codec.encode(asks, call=0, max_bytes=LIMIT)
