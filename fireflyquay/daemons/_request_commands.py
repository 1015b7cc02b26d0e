"""Command `request`, which sends one request."""

from __future__ import annotations

import argparse
from contextlib import aclosing
from typing import Any

import msgspec

from fireflyquay.client import Client
from fireflyquay.world import (
    DECODE_ERRORS,
    Code,
)

from ._context import Context, add_entry_options, add_json_option
from ._output import ExitCode, UsageError, format_json, to_json_value

DEFAULT_TIMEOUT_SECONDS = 60.0
DEFAULT_MAX_TOKENS = 256


class PromptBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the JSON body of a request to a model engine."""

    prompt: str
    max_tokens: int
    prompt_tokens: int | None = None
    prefix: str | None = None


def add_request_command(commands: argparse._SubParsersAction) -> None:
    """Add `request`."""
    parser = commands.add_parser(
        "request", help="send one request and print its answer"
    )
    parser.add_argument("kind", help="kind of request, such as work-order")
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument("--prompt", help="prompt for a model engine")
    group.add_argument("--body", help="JSON body for a plain service")
    parser.add_argument(
        "--max-tokens",
        type=int,
        default=DEFAULT_MAX_TOKENS,
        help="maximum number of output tokens",
    )
    parser.add_argument(
        "--prompt-tokens", type=int, help="number of tokens in the prompt"
    )
    parser.add_argument(
        "--prefix", help="prefix that the prompt shares with other requests"
    )
    parser.add_argument("--key", help="idempotency key of the request")
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_SECONDS,
        metavar="SECONDS",
        help="time limit for the complete answer",
    )
    parser.add_argument(
        "--stream", action="store_true", help="print tokens as they arrive"
    )
    add_entry_options(parser)
    add_json_option(parser)
    parser.set_defaults(run=send_request)


async def send_request(context: Context) -> ExitCode:
    """Send one request and print its answer."""
    arguments = context.arguments
    body = make_body(arguments)
    if not 0 < arguments.timeout < float("inf"):
        raise UsageError(
            Code.BAD_REQUEST,
            f"The timeout must be finite and above 0 s, not {arguments.timeout:g} s.",
        )
    client = context.make_client()
    if arguments.stream:
        return await _print_stream(context, client, body)
    answer = await client.request(
        arguments.kind, body, arguments.timeout, arguments.key
    )
    context.print_to_stderr(f"Key: {answer.key}. Verdict: RAN.")
    view = {"key": answer.key, "verdict": "RAN", "output": answer.output}
    text = answer.output if isinstance(answer.output, str) else None
    context.print(view, format_json(answer.output) if text is None else text)
    return ExitCode.OK


def make_body(arguments: argparse.Namespace) -> Any:
    """Return the body of the request; raise UsageError for invalid JSON."""
    if arguments.prompt is not None:
        return to_json_value(
            PromptBody(
                arguments.prompt,
                arguments.max_tokens,
                arguments.prompt_tokens,
                arguments.prefix,
            )
        )
    try:
        return msgspec.json.decode(arguments.body)
    except DECODE_ERRORS as error:
        sentence = f"The body is not valid JSON: {error}."
        raise UsageError(Code.BAD_REQUEST, sentence) from error


async def _print_stream(context: Context, client: Client, body: Any) -> ExitCode:
    arguments = context.arguments
    keys: list[str] = []
    stream = client.stream(
        arguments.kind, body, arguments.timeout, arguments.key, keys.append
    )
    async with aclosing(stream) as tokens:
        async for token in tokens:
            if arguments.json:
                print(format_json(token), flush=True)
            else:
                print(token.text, end="", flush=True)
    if not arguments.json:
        print()
    context.print_to_stderr(f"Key: {keys[-1]}. Verdict: RAN.")
    return ExitCode.OK
