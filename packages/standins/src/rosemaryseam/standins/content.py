"""Answers derived from the request, so that callers detect mixed or missing parts."""

from __future__ import annotations

import hashlib
import json
import math
import random
from typing import Any

MEDIAN_OUTPUT_TOKENS = 24
OUTPUT_LENGTH_SIGMA = 0.9  # of the log-normal output length
MAX_OUTPUT_TOKENS = 2000


def digest_request(body: dict[str, Any]) -> str:
    """Return a hex digest of the model and the prompt, which determine the answer.

    :param body: parsed completion request
    """
    prompt = body.get('messages', body.get('prompt'))
    canonical = json.dumps([body.get('model'), prompt], sort_keys=True)
    return hashlib.sha256(canonical.encode()).hexdigest()


def answer_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens that an engine generates for a request.

    :param body: parsed completion request
    """
    digest = digest_request(body)
    limit = (
        body.get('max_completion_tokens') or body.get('max_tokens') or MAX_OUTPUT_TOKENS
    )
    count = min(max(output_length(digest), body.get('min_tokens', 0)), limit)
    return [f'{digest[:8]}.{index} ' for index in range(count)]


def output_length(digest: str) -> int:
    """Return a heavy-tailed output length in tokens, derived from a digest.

    :param digest: hex digest of the request
    """
    rng = random.Random(digest)
    length = rng.lognormvariate(math.log(MEDIAN_OUTPUT_TOKENS), OUTPUT_LENGTH_SIGMA)
    return max(1, min(MAX_OUTPUT_TOKENS, int(length)))
