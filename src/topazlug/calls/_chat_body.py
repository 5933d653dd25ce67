"""Parsing of the parts of chat requests and answers that the daemon uses."""

import msgspec

from topazlug import _errors
from topazlug.callers import _caller_request
from topazlug.callers import _memory_budget
from topazlug.routing import _ranking
from topazlug.targets import _target_answer

_MAX_ANSWER_BYTES = 16 << 20
_MAX_MESSAGES = 10_000
_MAX_CHAT_ID_LENGTH = 256
_MAX_PARSED_CONTENT = 65536


class ChatMessage(msgspec.Struct):
    """One message of a chat; other fields are not parsed."""

    role: str
    # Not parsed: as objects, lists and maps take many times their bytes.
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct):
    """A chat request; other fields are not parsed."""

    model: str
    messages: list[ChatMessage]
    stream: bool | None = None


def decode(body: bytes) -> ChatBody:
    """Parse the body of a chat request.

    Raises
    ------
    BadBody
        The body is not a valid chat request.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _errors.BadBody(f"not a chat request: {error}") from error
    if not chat.messages or len(chat.messages) > _MAX_MESSAGES:
        raise _errors.BadBody(
            f"messages has {len(chat.messages)} entries; give 1 to"
            f" {_MAX_MESSAGES}"
        )
    return chat


def chat_id(
    request: _caller_request.CallerRequest,
    caller: _caller_request.Caller,
    chat: ChatBody,
) -> str:
    """Return the chat's id: from its header, or a hash of its first messages.

    The hash covers the first system and the first user message, which are the
    same in all requests of a chat.
    """
    header = request.header("X-Chat-Id")
    if len(header) > _MAX_CHAT_ID_LENGTH:
        raise _errors.BadHeader(
            f"X-Chat-Id is longer than {_MAX_CHAT_ID_LENGTH} characters"
        )
    if header:
        return header
    system = _first_text(chat, "system")
    user = _first_text(chat, "user")
    return f"{_ranking.chat_hash(caller.name, chat.model, system, user):x}"


def _first_text(chat: ChatBody, role: str) -> str:
    for message in chat.messages:
        if message.role == role:
            return _text(bytes(message.content))
    return ""


def _text(content: bytes) -> str:
    """Return the text of a message's content, which is any JSON.

    Raises
    ------
    BadBody
        It is not valid JSON.
    """
    if not content.startswith(b'"') and len(content) > _MAX_PARSED_CONTENT:
        return content.decode("utf-8", "replace")
    try:
        return str(msgspec.json.decode(content))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _errors.BadBody(f"content is no valid JSON: {error}") from error


def read_answer(
    answer: _target_answer.TargetAnswer,
    *,
    receive_timeout: float,
    deadline: float,
    holding: _memory_budget.Holding | None = None,
) -> bytes:
    """Read an engine's answer that is not streamed.

    Raises
    ------
    RequestError
        The answer is incomplete or too long.
    """
    blocks: list[bytes] = []
    size = 0
    for block in answer.chunks(
        receive_timeout=receive_timeout, deadline=deadline
    ):
        size += len(block)
        has_room = _memory_budget.may_buffer(holding, len(block))
        if size > _MAX_ANSWER_BYTES or not has_room:
            raise _errors.TargetFailed(
                f"there is no room for {size} bytes of the engine's answer",
                outcome=_errors.Outcome.UNKNOWN,
            )
        blocks.append(block)
    body = b"".join(blocks)
    if answer.status == 200:
        _check_json(body)
    return body


def _check_json(body: bytes) -> None:
    """Raise if an answer is not complete JSON.

    An answer without a length ends with its connection, so that the truncated
    answer of an engine that died would look complete.
    """
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.DecodeError as error:
        raise _errors.TargetTruncated(
            f"the engine's answer is not complete JSON: {error}",
            outcome=_errors.Outcome.UNKNOWN,
        ) from error
