import json

from click import testing
from gevent import pywsgi
import pytest

from standins import _http
from standins import _platform
from tests.topazlug import administration_fakes
from tests.topazlug import claim_fakes
from tests.topazlug import table_fakes
from topazlug import cli
from topazlug.store import _table_client


class CommandRunner:
    """Runs ``topazlug`` against the administration of one daemon."""

    def __init__(self, url, token):
        self._url = url
        self.token = token

    def __call__(self, *arguments, output="json", input=None):
        global_options = ["--url", self._url, "--token", self.token]
        return testing.CliRunner().invoke(
            cli.main,
            [*global_options, "--output", output, *arguments],
            input=input,
        )

    @property
    def environment(self):
        """Return the environment for a ``topazlug`` in its own process."""
        return {"TOPAZLUG_URL": self._url, "TOPAZLUG_TOKEN": self.token}

    def json(self, *arguments):
        result = self(*arguments)
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)


@pytest.fixture
def platform():
    return _platform.Platform(list_lag=0.0, writes_per_second=0.0)


@pytest.fixture
def store(platform):
    server = _http.server(platform.answer, 0)
    client = _table_client.TableClient(
        host="127.0.0.1",
        port=server.server_port,
        timeout=2.0,
        clock=claim_fakes.FakeClock(),
    )
    yield client
    client.close()
    server.stop()


@pytest.fixture
def node(store):
    network = table_fakes.FakeNetwork()
    new_node = table_fakes.Node("a", store=store, network=network)
    new_node.follower.catch_up()
    return new_node


@pytest.fixture
def status(node):
    return administration_fakes.FakeStatus(node)


@pytest.fixture
def topazlug(node, store, status):
    app = administration_fakes.application(node, store, status=status)
    server = pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    url = f"http://127.0.0.1:{server.server_port}"
    yield CommandRunner(url, administration_fakes.BOOTSTRAP)
    server.stop()
