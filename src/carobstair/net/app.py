"""HTTP interface of a router for callers, operators and the load balancer."""

from __future__ import annotations

import asyncio
import hmac
import json
import math
import re
import uuid

import falcon
import falcon.asgi
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST

from carobstair.core.refusals import PROBLEM_JSON, Refusal, refuse
from carobstair.core.routing import AmbiguousTarget, read_path
from carobstair.core.state import UpstreamKind
from carobstair.logs import get_logger
from carobstair.metrics import RouterMetrics
from carobstair.models import ModelError, TicketModel, parse_model
from carobstair.net.agent import Agent
from carobstair.net.chat import collect_answer
from carobstair.net.gateway import Gateway
from carobstair.net.http import ON_END
from carobstair.settings import GatewaySettings, RouterSettings

__all__ = ["make_app"]

logger = get_logger(__name__)

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class _RequestIdMiddleware:
    """Middleware that accepts or generates a request ID and returns it in a header."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway

    async def process_request(self, req, resp) -> None:
        given = req.get_header("X-Request-Id") or ""
        is_valid = REQUEST_ID_PATTERN.fullmatch(given) is not None
        req.context.request_id = given if is_valid else uuid.uuid4().hex
        resp.set_header("X-Request-Id", req.context.request_id)

    async def process_response(self, req, resp, resource, req_succeeded) -> None:
        if self._gateway.closing:
            # Makes callers with keep-alive connections reconnect to another router.
            resp.set_header("Connection", "close")


class _Chat:
    def __init__(self, gateway: Gateway, settings: RouterSettings):
        self._gateway = gateway
        self._settings = settings

    async def on_post(self, req, resp) -> None:
        context = _admit(self._gateway, req)
        body = await _read_body(req, self._settings.gateway)
        generation = self._gateway.parse_generation(context, body)
        chunks = self._gateway.generate(generation)
        # Releases the slot and cancels the generation when the caller disconnects.
        req.scope[ON_END].append(chunks.aclose)
        if not generation.model.stream:
            answer = [chunk async for chunk in chunks if chunk is not None]
            resp.content_type = falcon.MEDIA_JSON
            resp.data = collect_answer(answer, generation)
            return
        # Await the first chunk before sending the status, so that a refusal until
        # then is returned with its own HTTP status.
        first = await anext(chunks)
        resp.sse = self._events(context.request_id, first, chunks)

    async def _events(self, request_id: str, first, rest):
        try:
            yield _sse_event(request_id, first)
            async for chunk in rest:
                # For None, Falcon sends an SSE comment as a keep-alive.
                yield None if chunk is None else _sse_event(request_id, chunk)
            yield falcon.asgi.SSEvent(data=b"[DONE]")
        except Refusal as refusal:
            problem = refusal.problem(request_id)
            yield falcon.asgi.SSEvent(event="error", json=problem)


class _Models:
    def __init__(self, gateway: Gateway):
        self._gateway = gateway

    async def on_get(self, req, resp) -> None:
        context = _admit(self._gateway, req)
        state = self._gateway.state
        names = [
            pool
            for pool in sorted(context.workspace.pools)
            if state.pool_kind(pool) is UpstreamKind.ENGINE
        ]
        resp.media = {
            "object": "list",
            "data": [{"id": n, "object": "model", "owned_by": ""} for n in names],
        }


class _Service:
    def __init__(self, gateway: Gateway, settings: RouterSettings):
        self._gateway = gateway
        self._settings = settings

    async def __call__(self, req, resp, service: str, path: str = "") -> None:
        context = _admit(self._gateway, req)
        # What may be repeated is decided by the path, which the service gets.
        _check_target(req)
        body = await _read_body(req, self._settings.gateway)
        query = f"?{req.query_string}" if req.query_string else ""
        call = self._gateway.parse_service_call(
            context, service, req.method, f"/{path}{query}", req.headers, body
        )
        answer = await self._gateway.call(call)
        resp.status = answer.status
        for name, value in answer.headers:
            if name.lower() != "content-type":
                resp.append_header(name, value)
            else:
                resp.content_type = value
        resp.data = answer.body


def _check_target(req) -> None:
    try:
        read_path(req.scope["raw_path"])
    except AmbiguousTarget as error:
        raise refuse("bad-request", str(error)) from error


class _OperatorAuth:
    """Middleware that requires a key for /operator/, and for /metrics if one is set."""

    def __init__(self, settings: RouterSettings):
        self._key = settings.gateway.operator_key
        self._metrics_key = settings.gateway.metrics_key

    async def process_resource(self, req, resp, resource, params) -> None:
        if req.path.startswith("/operator/"):
            _check_key(req, self._key)
        elif req.path == "/metrics" and self._metrics_key:
            _check_key(req, self._metrics_key)


class _Tickets:
    def __init__(self, agent: Agent, settings: RouterSettings):
        self._agent = agent
        self._settings = settings

    async def on_post(self, req, resp) -> None:
        body = await _read_body(req, self._settings.gateway)
        try:
            ticket = parse_model(TicketModel, body)
        except ModelError as error:
            raise refuse("bad-request", str(error)) from error
        number = await self._agent.file(ticket)
        resp.status = 201
        resp.media = {"number": number}

    async def on_get_one(self, req, resp, number: int) -> None:
        resp.data = await self._agent.ticket(number)
        resp.content_type = falcon.MEDIA_JSON


class _InForce:
    def __init__(self, agent: Agent):
        self._agent = agent

    async def on_get(self, req, resp) -> None:
        resp.media = {
            "number": self._agent.state.number,
            "instances": await self._agent.in_force(),
        }


class _Health:
    def __init__(self, agent: Agent, gateway: Gateway):
        self._agent = agent
        self._gateway = gateway

    async def on_get_alive(self, req, resp) -> None:
        resp.media = {"status": "ok"}

    async def on_get_ready(self, req, resp) -> None:
        reason = self._agent.unready_reason()
        if reason is None and self._gateway.refuses_new:
            reason = "shutting down"
        if reason is None:
            resp.media = {"status": "ready"}
            return
        resp.status = 503
        resp.media = {"status": "unready", "reason": reason}


class _Metrics:
    def __init__(self, metrics: RouterMetrics):
        self._metrics = metrics

    async def on_get(self, req, resp) -> None:
        resp.content_type = CONTENT_TYPE_LATEST
        self._metrics.refresh()
        resp.data = await asyncio.to_thread(self._metrics.render)


def make_app(
    gateway: Gateway, agent: Agent, metrics: RouterMetrics, settings: RouterSettings
) -> falcon.asgi.App:
    """Return the ASGI application of a router."""
    app = falcon.asgi.App(
        middleware=[_RequestIdMiddleware(gateway), _OperatorAuth(settings)]
    )
    app.req_options.strip_url_path_trailing_slash = False
    app.add_error_handler(Exception, _send_internal_error)
    app.add_error_handler(falcon.HTTPError, _send_http_error)
    app.add_error_handler(Refusal, _send_refusal)
    app.add_route("/v1/chat/completions", _Chat(gateway, settings))
    app.add_route("/v1/models", _Models(gateway))
    app.add_sink(
        _Service(gateway, settings), r"/services/(?P<service>[^/]+)/?(?P<path>.*)"
    )
    tickets = _Tickets(agent, settings)
    app.add_route("/operator/tickets", tickets)
    app.add_route("/operator/tickets/{number:int}", tickets, suffix="one")
    app.add_route("/operator/in-force", _InForce(agent))
    health = _Health(agent, gateway)
    app.add_route("/healthz", health, suffix="alive")
    app.add_route("/readyz", health, suffix="ready")
    app.add_route("/metrics", _Metrics(metrics))
    return app


def _admit(gateway: Gateway, req):
    context = gateway.authenticate(
        req.get_header("Authorization"),
        req.context.request_id,
        req.get_header("X-Deadline-Ms"),
    )
    req.context.workspace = context.workspace.name
    gateway.open(context.workspace)

    async def close() -> None:
        gateway.close(context.workspace)

    req.scope[ON_END].append(close)
    return context


def _check_key(req, expected: str) -> None:
    scheme, _, key = (req.get_header("Authorization") or "").partition(" ")
    equal = hmac.compare_digest(key.strip().encode(), expected.encode())
    if not expected or scheme.lower() != "bearer" or not equal:
        raise refuse("unauthenticated")


async def _read_body(req, settings: GatewaySettings) -> bytes:
    max_bytes = settings.max_body_bytes
    if (req.content_length or 0) > max_bytes:
        raise refuse("too-large", f"at most {max_bytes} bytes")
    try:
        body = await req.stream.read(max_bytes + 1)
    except TimeoutError as error:
        text = f"the body took longer than {settings.body_timeout_s:g} s"
        raise refuse("request-timeout", text) from error
    if len(body) > max_bytes:
        raise refuse("too-large", f"at most {max_bytes} bytes")
    return body


def _sse_event(request_id: str, chunk) -> falcon.asgi.SSEvent:
    data = msgspec.json.encode({**chunk.document, "id": request_id})
    return falcon.asgi.SSEvent(event_id=str(chunk.number), data=data)


async def _send_refusal(req, resp, refusal: Refusal, params) -> None:
    resp.status = refusal.status
    resp.content_type = PROBLEM_JSON
    if refusal.retry_after_s is not None:
        resp.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
    resp.text = json.dumps(refusal.problem(req.context.request_id))
    logger.info(
        "request_refused",
        request_id=req.context.request_id,
        workspace=getattr(req.context, "workspace", None),
        type=refusal.kind.name,
        ran=str(refusal.kind.ran),
        detail=refusal.detail,
    )


async def _send_internal_error(req, resp, error: Exception, params) -> None:
    logger.error("request_failed", request_id=req.context.request_id, exc_info=error)
    refusal = refuse("internal-error")
    await _send_refusal(req, resp, refusal, params)


async def _send_http_error(req, resp, error: falcon.HTTPError, params) -> None:
    name = "not-found" if error.status_code == 404 else "bad-request"
    refusal = refuse(name, error.title or "")
    await _send_refusal(req, resp, refusal, params)
    resp.status = error.status
