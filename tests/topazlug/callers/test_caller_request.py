"""Team, deadline and request class of a caller's request."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures as fixtures
from topazlug import _errors
from topazlug._generated import settings
from topazlug.callers import _caller_request


@pytest.fixture
def make_request():
    def request(**fields):
        environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/"}
        for name, value in fields.items():
            environ["HTTP_" + name.upper()] = value
        return _caller_request.CallerRequest(
            environ=environ,
            limits=settings.LimitSettings(
                default_deadline=60.0, max_deadline=100.0
            ),
            clock=claim_fakes.FakeClock(),
        )

    return request


class TestDeadline:
    @pytest.mark.parametrize(
        "named, max_seconds, seconds",
        [
            ("", None, 60.0),
            ("5", None, 5.0),
            ("0.25", None, 0.25),
            ("1e6", None, 100.0),
            ("50", 20.0, 20.0),
            ("", 20.0, 20.0),
        ],
    )
    def test_shortest_limit_applies(
        self, make_request, named, max_seconds, seconds
    ):
        request = make_request(x_request_timeout=named)
        request.read_deadline(max_seconds=max_seconds)
        assert request.remaining() == seconds

    @pytest.mark.parametrize("named", ["0", "-1", "nan", "inf", "x", "1e9"])
    def test_invalid_timeout_is_rejected(self, make_request, named):
        with pytest.raises(_errors.BadHeader):
            make_request(x_request_timeout=named).read_deadline()


class TestIdentify:
    @pytest.fixture
    def snapshot(self):
        rows = {
            "teams": [
                {
                    "name": "acme",
                    "keys": [
                        fixtures.ROWS["teams"][0]["keys"][0],
                        {
                            "hash": fixtures._tokens.hash_of("old"),
                            "expires": "2020-01-01T00:00:00Z",
                        },
                    ],
                }
            ]
        }
        return fixtures.table_holder(rows).current

    @pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER"])
    def test_team_is_found_by_key(self, make_request, snapshot, scheme):
        request = make_request(authorization=f"{scheme} {fixtures.KEY}")
        assert request.identify(snapshot).name == "acme"

    @pytest.mark.parametrize(
        "given",
        ["", "Bearer", "Bearer  ", "Basic x", "Bearer no", "Bearer old"],
    )
    def test_invalid_key_is_rejected(self, make_request, snapshot, given):
        with pytest.raises(_errors.BadKey):
            make_request(authorization=given).identify(snapshot)

    def test_class_of_a_request(self, make_request, snapshot):
        for named, batch in [("", False), ("batch", True)]:
            request = make_request(
                authorization=f"Bearer {fixtures.KEY}", x_request_class=named
            )
            assert request.identify(snapshot).batch is batch
