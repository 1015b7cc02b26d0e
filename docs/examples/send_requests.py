"""Send one request and stream another; a fleet must be running."""

import asyncio
import os

from fireflyquay.client import Client, RequestFailed
from fireflyquay.links import HttpClient, HttpLimits


async def main(entries: list[tuple[str, int]], token: str) -> list[str]:
    """Return the outputs, or the code and verdict of the request that failed."""
    http = HttpClient(HttpLimits())
    client = Client(entries, token, http)
    texts = []
    try:
        result = await client.request(
            "work-order", {"prompt": "Inspection notes", "max_tokens": 8}, timeout=20.0
        )
        texts.append(f"{result.key}: {result.output}")
        body = {"prompt": "Which speed for birch?", "max_tokens": 8}
        async for token_part in client.stream("question", body, timeout=20.0):
            texts.append(token_part.text)
    except RequestFailed as failure:
        # Only NOT_RUN allows a retry, and the client has already retried.
        texts.append(f"{failure.code} {failure.verdict} {failure.key}")
    finally:
        await http.close()
    return texts


if __name__ == "__main__":
    host, _, port = os.environ["FIREFLYQUAY_ENTRIES"].split(",")[0].partition(":")
    for line in asyncio.run(main([(host, int(port))], os.environ["FIREFLYQUAY_TOKEN"])):
        print(line)
