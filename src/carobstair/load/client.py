"""HTTP client that sends planned requests and checks their responses."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod

import aiohttp

from carobstair.load.plan import PlannedAction, PlannedChat, PlannedRequest
from carobstair.net.bodies import read_body

__all__ = ["Client", "Outcome"]

REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(slots=True)
class Outcome:
    """Result of one request; times are monotonic seconds.

    Attributes
    ----------
    intended_s, sent_s, ended_s : float
    first_token_s : float or None
        When the first token, or the response to an action, arrived.
    result : str
        ``answered``, ``refused``, ``cut``, ``not sent`` or ``not whole``.
    detail : str
        Type of the refusal, name of the exception, or defect of the answer.
    ran : str
        What the refusal says about whether the request ran.
    """

    request: PlannedRequest
    intended_s: float
    sent_s: float = 0.0
    ended_s: float = 0.0
    first_token_s: float | None = None
    token_intervals_s: list[float] = field(default_factory=list)
    result: str = "answered"
    detail: str = ""
    ran: str = ""
    text: str = ""


class Client:
    """Sends requests and returns their outcomes.

    Parameters
    ----------
    session : aiohttp.ClientSession
    addresses : list of str
        Base URL of each router.
    keys : dict
        API key by workspace.
    deadline_s : float
        Deadline that is sent with each request, in seconds.
    check_answers : bool
        Whether answers are checked for completeness and for the request id.
    expected_text : callable, optional
        Returns the expected answer to a chat request, if it is known.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: list[str],
        keys: dict[str, str],
        deadline_s: float = 60.0,
        check_answers: bool = True,
        expected_text: Callable[[PlannedChat], str] | None = None,
    ):
        self._session = session
        self._addresses = addresses
        self._keys = keys
        self._deadline_s = deadline_s
        self._check_answers = check_answers
        self._expected_text = expected_text

    async def send(
        self, request: PlannedRequest, intended_s: float | None = None
    ) -> Outcome:
        """Send a request and return its outcome.

        Parameters
        ----------
        request : PlannedRequest
        intended_s : float, optional
            Monotonic time at which the request was due; by default now.
        """
        now_s = time.monotonic()
        outcome = Outcome(request, now_s if intended_s is None else intended_s, now_s)
        try:
            await self._send(request, outcome)
        except aiohttp.ClientConnectorError as error:
            outcome.result, outcome.detail = "not sent", type(error).__name__
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            outcome.result, outcome.detail = "cut", type(error).__name__
        outcome.ended_s = time.monotonic()
        return outcome

    @singledispatchmethod
    async def _send(self, request: PlannedRequest, outcome: Outcome) -> None:
        raise TypeError(f"unknown request {request!r}")

    @_send.register
    async def _(self, request: PlannedChat, outcome: Outcome) -> None:
        body = {
            "model": request.model,
            "stream": True,
            "max_tokens": request.tokens,
            "messages": [{"role": "user", "content": request.prompt}],
        }
        url = self._addresses[request.router] + "/v1/chat/completions"
        async with self._session.post(
            url, json=body, headers=self._headers(request)
        ) as response:
            if await self._refused(response, outcome):
                return
            stream = _Stream(outcome)
            async for line in response.content:
                stream.feed_line(line.rstrip(b"\r\n"))
        outcome.text = "".join(stream.parts)
        if stream.problem is not None:
            _record_refusal(stream.problem, outcome)
            outcome.result = "cut"
        elif self._check_answers:
            defect = stream.defect() or self._text_defect(request, outcome.text)
            self._record_defect(response, request, defect, outcome)

    @_send.register
    async def _(self, request: PlannedAction, outcome: Outcome) -> None:
        path = request.path.lstrip("/")
        url = f"{self._addresses[request.router]}/services/{request.service}/{path}"
        headers = self._headers(request) | {"Idempotency-Key": request.key}
        body = json.dumps({"key": request.key}).encode()
        async with self._session.post(url, data=body, headers=headers) as response:
            if await self._refused(response, outcome):
                return
            outcome.text = (await read_body(response)).decode("utf-8", "replace")
            outcome.first_token_s = time.monotonic()
        if self._check_answers:
            self._record_defect(response, request, "", outcome)

    def _headers(self, request: PlannedRequest) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._keys[request.workspace]}",
            REQUEST_ID_HEADER: f"load-{request.workspace}-{request.number}",
            "X-Deadline-Ms": str(round(self._deadline_s * 1000)),
        }

    async def _refused(self, response, outcome: Outcome) -> bool:
        if response.status < 400:
            return False
        outcome.result, outcome.detail = "refused", f"status {response.status}"
        if "problem+json" in response.headers.get("Content-Type", ""):
            _record_refusal(json.loads(await read_body(response)), outcome)
        return True

    def _text_defect(self, request: PlannedChat, text: str) -> str:
        if self._expected_text is None or text == self._expected_text(request):
            return ""
        return "another text"

    def _record_defect(
        self, response, request: PlannedRequest, defect: str, outcome: Outcome
    ) -> None:
        if (
            response.headers.get(REQUEST_ID_HEADER)
            != self._headers(request)[REQUEST_ID_HEADER]
        ):
            defect = "another request id"
        if defect:
            outcome.result, outcome.detail = "not whole", defect


class _Stream:
    """Parses the server-sent events of one answer."""

    def __init__(self, outcome: Outcome):
        self._outcome = outcome
        self._last_token_s: float | None = None
        self._expected_id = 1
        self._event = ""
        self._id_gap = ""
        self._finish_reason_received = False
        self._done_received = False
        self.parts: list[str] = []
        self.problem: dict | None = None

    def feed_line(self, line: bytes) -> None:
        """Process one line of the stream."""
        name, _, value = line.partition(b": ")
        if name == b"event":
            self._event = value.decode()
        elif name == b"id":
            self._check_event_id(value)
        elif name == b"data" and value == b"[DONE]":
            self._done_received = True
        elif name == b"data" and self._event == "error":
            self.problem = json.loads(value)
        elif name == b"data":
            self._read_chunk(json.loads(value))
        elif not line:
            self._event = ""

    def defect(self) -> str:
        """Return what is missing from the answer, or an empty string."""
        if self._id_gap:
            return self._id_gap
        if not self._finish_reason_received:
            return "no finish reason"
        return "" if self._done_received else "no [DONE]"

    def _check_event_id(self, value: bytes) -> None:
        number = int(value)
        if number != self._expected_id and not self._id_gap:
            self._id_gap = f"event {number} where {self._expected_id} was due"
        self._expected_id = number + 1

    def _read_chunk(self, document: dict) -> None:
        choice = document["choices"][0]
        if choice.get("finish_reason"):
            self._finish_reason_received = True
        part = choice.get("delta", {}).get("content", "")
        if not part:
            return
        self.parts.append(part)
        now_s = time.monotonic()
        if self._last_token_s is None:
            self._outcome.first_token_s = now_s
        else:
            self._outcome.token_intervals_s.append(now_s - self._last_token_s)
        self._last_token_s = now_s


def _record_refusal(problem: dict, outcome: Outcome) -> None:
    outcome.detail = str(problem.get("type", "")).rpartition(":")[2]
    outcome.ran = str(problem.get("ran", ""))
