"""Sessions against real daemons, compared with golden files.

With ``TOPAZLUG_GOLDEN=rewrite`` in the environment the files are rewritten;
review the difference before committing it.
"""

import os
import pathlib

from golden_recorder import Recorder
import golden_sessions
import pytest

FOLDER = pathlib.Path(__file__).parent
REWRITE = os.environ.get("TOPAZLUG_GOLDEN") == "rewrite"
pytestmark = pytest.mark.processes


class TestGolden:
    @pytest.mark.parametrize("name", sorted(golden_sessions.BY_NAME))
    def test_session_matches_golden_file(
        self, recorder: Recorder, name: str
    ) -> None:
        session = golden_sessions.BY_NAME[name]
        session(recorder)
        text = recorder.text(title=session.__doc__ or name)
        path = FOLDER / f"{name}.golden"
        if REWRITE:
            path.write_text(text)
        assert text == path.read_text()

    def test_each_file_belongs_to_a_session(self) -> None:
        names = {path.stem for path in FOLDER.glob("*.golden")}

        assert names == set(golden_sessions.BY_NAME)
