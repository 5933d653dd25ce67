import pathlib

import pytest
import yaml

from tests.topazlug import administration_fakes
from tests.topazlug import table_fakes
from topazlug.administration import _administration_http
from topazlug.administration import _tokens

PAGES = pathlib.Path(__file__).parents[3] / "docs" / "reference"


@pytest.fixture
def store():
    return table_fakes.FakeStore()


@pytest.fixture
def node(store):
    network = table_fakes.FakeNetwork()
    node = table_fakes.Node("a", store=store, network=network)
    node.follower.catch_up()
    return node


@pytest.fixture
def app(node, store):
    return administration_fakes.application(node, store)


@pytest.fixture
def call(app):
    return administration_fakes.Caller(app)


def add_operator(call, role, name=None):
    """Add an operator and return the token."""
    name = name or role
    token = f"token-of-{name}"
    body = {"role": role, "token_hash": _tokens.hash_of(token)}
    answer = call("PUT", f"/v1/operators/{name}", body)
    assert answer.status == 201
    return token


class TestOpenPaths:
    def test_live(self, call):
        assert call("GET", "/health/live").status == 200

    def test_ready(self, node, store):
        app = administration_fakes.application(node, store, ready=False)
        call = administration_fakes.Caller(app)
        assert call("GET", "/health/ready").status == 503

    def test_metrics(self, call):
        call.token = ""
        assert call("GET", "/metrics").text == "up 1\n"


class TestTokens:
    def test_no_token(self, call):
        call.token = ""
        answer = call("GET", "/v1/teams")
        assert answer.status == 401
        assert answer.code == "invalid_operator_token"

    def test_bootstrap_token_ends_with_the_first_operator(self, call):
        """The bootstrap token must not stay valid beside operators.

        It appears in no list of operators, so it could be used unnoticed
        after the table has been set up with it.
        """
        token = add_operator(call, "admin")
        assert call("GET", "/v1/teams").status == 401
        call.token = token
        assert call("GET", "/v1/teams").status == 200

    @pytest.mark.parametrize(
        "role, status", [("read", 403), ("edit", 201), ("admin", 201)]
    )
    def test_roles_that_may_edit(self, call, role, status):
        admin = add_operator(call, "admin", "chief")
        call.token = admin
        call.token = add_operator(call, role)
        assert call("PUT", "/v1/teams/acme", {}).status == status

    def test_only_admins_edit_operators(self, call):
        call.token = add_operator(call, "admin")
        call.token = add_operator(call, "edit")
        body = {"role": "admin", "token_hash": "b" * 64}
        assert call("PUT", "/v1/operators/me", body).code == "forbidden"

    def test_daemon_without_a_table_is_not_ready(self, store):
        node = table_fakes.Node(
            "b", store=store, network=table_fakes.FakeNetwork()
        )
        app = administration_fakes.application(node, store)
        call = administration_fakes.Caller(app)
        assert call("GET", "/v1/teams").code == "not_ready"


class TestRows:
    def test_put_get_delete(self, call):
        put = call("PUT", "/v1/teams/acme", {"weight": 2})
        assert (put.status, put.body["revision"]) == (201, 1)
        answer = call("GET", "/v1/teams/acme")
        assert answer.body["row"]["weight"] == 2
        etag = answer.header_by_name["ETag"]
        assert call("DELETE", "/v1/teams/acme", if_match=etag).status == 200
        assert call("GET", "/v1/teams/acme").code == "row_not_found"

    def test_change_without_etag_is_rejected(self, call):
        call("PUT", "/v1/teams/acme", {})
        answer = call("PUT", "/v1/teams/acme", {"weight": 3})
        assert answer.status == 428

    def test_conflict_shows_both_values(self, call):
        call("PUT", "/v1/teams/acme", {"weight": 1})
        etag = call("GET", "/v1/teams/acme").header_by_name["ETag"]
        call("PUT", "/v1/teams/acme", {"weight": 2}, if_match=etag)
        answer = call("PUT", "/v1/teams/acme", {"weight": 3}, if_match=etag)
        assert (answer.status, answer.code) == (409, "row_conflict")
        assert answer.body["error"]["mine"]["weight"] == 3
        assert answer.body["error"]["current"]["weight"] == 2

    def test_repeat_under_one_id(self, call):
        for _ in range(2):
            answer = call("PUT", "/v1/teams/acme", {}, x_edit_id="edit-one")
            assert answer.body["revision"] == 1

    def test_row_that_breaks_the_schema(self, call):
        answer = call("PUT", "/v1/teams/acme", {"weight": -1})
        assert (answer.status, answer.code) == (422, "row_invalid")

    def test_list_is_paged(self, call):
        for name in ("a", "b", "c"):
            call("PUT", f"/v1/teams/{name}", {})
        page = call("GET", "/v1/teams?limit=2").body
        assert [row["row"]["name"] for row in page["rows"]] == ["a", "b"]
        assert page["more"]
        last = call("GET", "/v1/teams?limit=2&after=b").body
        assert [row["row"]["name"] for row in last["rows"]] == ["c"]
        assert not last["more"]

    def test_outage_of_the_store(self, call, store):
        call("PUT", "/v1/teams/acme", {})
        store.down = True
        assert call("GET", "/v1/teams/acme?fresh=true").status == 200
        answer = call("PUT", "/v1/teams/other", {})
        assert (answer.status, answer.code) == (503, "store_unavailable")

    def test_large_body(self, call):
        body = {"x": "x" * _administration_http.MAX_BODY_BYTES}
        assert call("PUT", "/v1/teams/acme", body).code == "body_too_large"

    @pytest.mark.parametrize(
        "method, path, code",
        [
            ("GET", "/v1/gateways", "path_not_found"),
            ("GET", "/nowhere", "path_not_found"),
            ("POST", "/v1/teams/acme", "method_not_allowed"),
            ("GET", "/v1/teams?limit=-1", "invalid_header"),
        ],
    )
    def test_errors_of_paths_and_methods(self, call, method, path, code):
        assert call(method, path).code == code

    def test_internal_error_exposes_no_details(self, call, node):
        node.editor.edit = None
        answer = call("PUT", "/v1/teams/acme", {})
        assert (answer.status, answer.code) == (500, "internal_error")
        assert "NoneType" not in answer.text


class TestKeys:
    @pytest.fixture(autouse=True)
    def team(self, call):
        call("PUT", "/v1/teams/acme", {})

    def issue(self, call, **options):
        return call("POST", "/v1/teams/acme/keys", {"label": "x"}, **options)

    def test_key_is_shown_once_and_stored_as_hash(self, call, node):
        issued = self.issue(call).body
        key = node.holder.current.teams_by_name["acme"].keys[0]
        assert key.hash == _tokens.hash_of(issued["key"]) == issued["hash"]
        assert issued["key"] not in call("GET", "/v1/teams/acme").text

    def test_revocation_keeps_the_other_keys(self, call, node):
        hashes = [self.issue(call).body["hash"] for _ in range(2)]
        call("DELETE", f"/v1/teams/acme/keys/{hashes[0][:12]}")
        keys = node.holder.current.teams_by_name["acme"].keys
        assert [key.hash for key in keys] == hashes[1:]

    def test_repeated_issue_makes_no_second_key(self, call, node):
        self.issue(call, x_edit_id="edit-one")
        again = self.issue(call, x_edit_id="edit-one")
        assert again.body["key"] is None
        assert len(node.holder.current.teams_by_name["acme"].keys) == 1

    def test_edit_without_keys_keeps_the_keys(self, call, node):
        self.issue(call)
        etag = call("GET", "/v1/teams/acme").header_by_name["ETag"]
        call("PUT", "/v1/teams/acme", {"weight": 2}, if_match=etag)
        assert len(node.holder.current.teams_by_name["acme"].keys) == 1

    def test_unknown_key(self, call):
        answer = call("DELETE", "/v1/teams/acme/keys/" + "0" * 8)
        assert answer.code == "row_not_found"

    def test_undo_does_not_restore_a_revoked_key(self, call, node):
        """A leaked key must not become valid again.

        A key is revoked, and the revision is undone. Writing the full old
        row would restore the key.
        """
        issued = self.issue(call).body
        path = f"/v1/teams/acme/keys/{issued['hash']}"
        revoked = call("DELETE", path).body["revision"]
        answer = call("POST", "/v1/undo", {"revision": revoked})
        assert answer.code == "row_invalid"
        assert not node.holder.current.teams_by_name["acme"].keys


class TestHistory:
    def test_entries(self, call):
        call("PUT", "/v1/teams/acme", {}, x_reason="new%20customer")
        entry = call("GET", "/v1/history").body["entries"][0]
        assert (entry["who"], entry["why"]) == ("bootstrap", "new customer")

    def test_undo_is_a_new_revision(self, call, node):
        call("PUT", "/v1/teams/acme", {"weight": 1})
        etag = call("GET", "/v1/teams/acme").header_by_name["ETag"]
        call("PUT", "/v1/teams/acme", {"weight": 2}, if_match=etag)
        answer = call("POST", "/v1/undo", {"revision": 2})
        assert answer.body["revision"] == 3
        assert node.weight("acme") == 1

    def test_undo_before_later_changes_is_a_conflict(self, call):
        call("PUT", "/v1/teams/acme", {"weight": 1})
        etag = call("GET", "/v1/teams/acme").header_by_name["ETag"]
        call("PUT", "/v1/teams/acme", {"weight": 2}, if_match=etag)
        assert call("POST", "/v1/undo", {"revision": 1}).code == "row_conflict"

    def test_undo_of_an_unknown_revision(self, call):
        answer = call("POST", "/v1/undo", {"revision": 7})
        assert answer.code == "row_not_found"


class TestImport:
    DOCUMENT = {
        "pools": [{"name": "p", "model": "m"}],
        "teams": [{"name": "acme", "pools": ["p"]}, {"name": "beta"}],
    }

    def send(self, call, document=DOCUMENT, **options):
        return call("POST", "/v1/import", {"document": document, **options})

    def test_import_then_export(self, call):
        assert self.send(call).body["revision"] == 3
        exported = call("GET", "/v1/export").body["document"]
        assert [row["name"] for row in exported["teams"]] == ["acme", "beta"]
        again = self.send(call, exported).body
        assert (again["revision"], again["differences"]) == (3, [])

    def test_dry_run_changes_nothing(self, call, node):
        answer = self.send(call, dry_run=True).body
        assert [d["kind"] for d in answer["differences"]] == ["added"] * 3
        assert node.holder.revision == 0

    def test_dry_run_reports_findings(self, call):
        document = {"teams": [{"name": "acme", "pools": ["none"]}]}
        answer = self.send(call, document, dry_run=True).body
        assert not answer["acceptable"]
        assert "pool_unknown" in [f["kind"] for f in answer["findings"]]

    def test_invalid_document_is_rejected_in_full(self, call, node):
        document = {"teams": [{"name": "acme"}, {"name": "b", "pools": ["n"]}]}
        assert self.send(call, document).code == "row_invalid"
        assert node.holder.revision == 0

    def test_absent_rows_are_removed_on_request(self, call, node):
        self.send(call)
        self.send(call, {"teams": [{"name": "beta"}]}, remove_absent=True)
        assert list(node.holder.current.teams_by_name) == ["beta"]
        assert not node.holder.current.pools_by_name

    def test_old_document_does_not_restore_a_revoked_key(self, call, node):
        document = {"teams": [{"name": "a", "keys": [{"hash": "a" * 64}]}]}
        self.send(call, document)
        assert not node.holder.current.teams_by_name["a"].keys

    def test_repeat_after_a_failed_batch_makes_the_rest(
        self, call, node, store
    ):
        """The repeat of an incomplete import must make the remaining edits.

        The store goes down between two batches of an import, and the operator
        repeats it under the same edit id. The repeat must neither be treated
        as already done nor be rejected as the reuse of an id.
        """
        document = {"teams": [{"name": f"t{n:03d}"} for n in range(250)]}

        def fail():
            store.down = True

        store.before_transact = [lambda: None, fail]
        body = {"document": document}
        headers = {"x_edit_id": "import-one"}
        assert call("POST", "/v1/import", body, **headers).status == 503
        store.down = False
        assert len(node.holder.current.teams_by_name) == 200
        assert call("POST", "/v1/import", body, **headers).status == 200
        assert len(node.holder.current.teams_by_name) == 250
        assert node.holder.revision == 250


class TestStatus:
    def test_status(self, call):
        assert call("GET", "/v1/status").body["teams"][0]["running"] == 2

    def test_config_status_omits_dead_daemons(self, call):
        body = call("GET", "/v1/config/status").body
        assert body["in_force"]
        assert [d["id"] for d in body["daemons"]] == ["a", "other"]

    def test_config_status_lists_daemons_that_are_behind(self, node, store):
        status = administration_fakes.FakeStatus(node)
        status.other_revision = 0
        app = administration_fakes.application(node, store, status=status)
        call = administration_fakes.Caller(app)
        call("PUT", "/v1/teams/acme", {})
        body = call("GET", "/v1/config/status?revision=1").body
        assert (body["in_force"], body["behind"]) == (False, ["other"])

    def test_explain(self, call):
        body = call("GET", "/v1/explain?chat=c&pool=p").body
        assert body["chosen"] == "r2"

    def test_explain_of_an_unknown_pool(self, call):
        answer = call("GET", "/v1/explain?chat=c&pool=q")
        assert answer.code == "model_not_found"


def test_openapi_document_has_the_paths_and_roles_served(app):
    document = yaml.safe_load((PAGES / "openapi.yaml").read_text())
    described = {
        (method.upper(), path, operation.get("x-role"))
        for path, operations in document["paths"].items()
        for method, operation in operations.items()
        if method != "parameters"
    }
    served = {(r.method, r.path, r.role and r.role.value) for r in app.routes}
    assert described == served


class TestBlocked:
    def test_list(self, call):
        (shown,) = call("GET", "/v1/blocked").body["blocked"]
        assert shown["fingerprint"] == "f1"
        assert shown["crashes"] == ["i-1@1", "i-2@1"]
        assert shown["until"] == "2026-01-02T00:00:00+00:00"

    def test_release(self, call):
        assert call("DELETE", "/v1/blocked/f1").status == 200
        assert call("GET", "/v1/blocked").body["blocked"] == []

    def test_release_of_a_request_that_is_not_blocked(self, call):
        answer = call("DELETE", "/v1/blocked/f2")
        assert (answer.status, answer.code) == (404, "request_not_blocked")

    def test_role_read_may_list_but_not_release(self, call):
        add_operator(call, "admin")
        call.token = "token-of-admin"
        call.token = add_operator(call, "read")
        assert call("GET", "/v1/blocked").status == 200
        assert call("DELETE", "/v1/blocked/f1").status == 403
