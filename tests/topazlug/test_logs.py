import datetime
import io
import json
import logging

import gevent
import pytest

from topazlug import _ids
from topazlug import _logs
from topazlug._generated import settings

log = _logs.logger("test")


@pytest.fixture
def stream():
    return io.StringIO()


@pytest.fixture
def handler(stream, request):
    chosen = getattr(request, "param", settings.LogSettings())
    handler = _logs.set_up(chosen, _ids.DaemonId("d1"), stream=stream)
    yield handler
    handler.pop_application()


@pytest.fixture
def lines(handler, stream):
    def read():
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    return read


class TestLogLines:
    def test_line_has_time_level_logger_message_and_fields(self, lines):
        log.info("peer {peer} left", peer="d2")
        (line,) = lines()
        when = datetime.datetime.fromisoformat(line.pop("time"))
        assert when.utcoffset() == datetime.timedelta(0)
        assert line == {
            "level": "info",
            "logger": "test",
            "daemon": "d1",
            "message": "peer d2 left",
            "peer": "d2",
        }

    def test_line_has_the_exception(self, lines):
        try:
            raise ValueError("odd")
        except ValueError:
            log.exception("failed")
        assert "ValueError: odd" in lines()[0]["exception"]

    def test_library_records_are_logged(self, lines):
        logging.getLogger("library").warning("slow %s", "disk")
        assert lines()[0]["message"] == "slow disk"

    def test_records_below_the_level_are_omitted(self, lines):
        log.debug("detail")
        assert lines() == []

    def test_message_without_its_fields_is_logged_unformatted(self, lines):
        log.info("{missing}", other=1)
        assert "{missing}" in lines()[0]["message"]

    @pytest.mark.parametrize(
        "handler",
        [settings.LogSettings(format=settings.LogFormat.text)],
        indirect=True,
    )
    def test_text_format_escapes_line_breaks(self, handler, stream):
        log.info("first\nsecond", chat="a\nb")
        (line,) = stream.getvalue().splitlines()
        assert r'first\nsecond daemon="d1" chat="a\nb"' in line


class TestRedaction:
    @pytest.mark.parametrize(
        "name", ["prompt", "messages", "api_key", "Authorization", "token"]
    )
    def test_sensitive_fields_are_redacted(self, handler, stream, name):
        log.info("got {" + name + "}", **{name: "hush"})
        log.info("nested", request={"list": [{name: "hush"}]})
        log.info("extra", extra={name: "hush"})
        with _logs.request_fields(**{name: "hush"}):
            log.info("request")
        assert len(stream.getvalue().splitlines()) == 4
        assert "hush" not in stream.getvalue()

    def test_bearer_tokens_are_redacted(self, handler, stream):
        log.info("head was Authorization: Bearer hush", why="bearer hush")
        assert "hush" not in stream.getvalue()

    def test_objects_are_logged_by_type(self, lines):
        log.info("object", held=settings.PeerSettings(secret="hush" * 4))
        assert lines()[0]["held"] == "<PeerSettings>"


class TestRequestFields:
    def test_blocks_nest(self, lines):
        with _logs.request_fields(request_id="r1", team="acme"):
            with _logs.request_fields(replica="e1"):
                log.info("inner")
            log.info("outer")
        log.info("none")
        inner, outer, none = lines()
        assert (inner["request_id"], inner["replica"]) == ("r1", "e1")
        assert outer["team"] == "acme" and "replica" not in outer
        assert "request_id" not in none

    def test_fields_are_local_to_a_greenlet(self, lines):
        """Guards against lines with the fields of another request.

        Two greenlets log in turn, each inside its own block. If fields were
        kept per thread, a search by request id would show lines of another
        team, as all greenlets share one thread.
        """

        def work(request_id):
            with _logs.request_fields(request_id=request_id):
                for _ in range(3):
                    gevent.sleep(0)
                    log.info("step", mine=request_id)

        gevent.joinall([gevent.spawn(work, name) for name in ("a", "b")])
        assert len(lines()) == 6
        assert all(line["request_id"] == line["mine"] for line in lines())

    def test_fields_can_be_passed_to_another_greenlet(self, lines):
        def work(fields):
            with _logs.request_fields(**fields):
                log.info("helper")

        with _logs.request_fields(request_id="r1"):
            gevent.spawn(work, _logs.current_fields()).join()
        assert lines()[0]["request_id"] == "r1"

    def test_generator_closed_in_another_greenlet(self, lines):
        """Guards against lines that lack their request id.

        A response generator is left unfinished, and the garbage collector
        closes it in another greenlet. Leaving the block there must not reset
        the fields of that greenlet.
        """

        def answer():
            with _logs.request_fields(request_id="r1"):
                yield

        left = answer()
        gevent.spawn(next, left).join()
        with _logs.request_fields(request_id="r2"):
            left.close()
            log.info("mine")
        assert lines()[0]["request_id"] == "r2"
