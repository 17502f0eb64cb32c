"""Prompts, and the parts that calls share."""

import dataclasses

from pearrun.ids import EndpointId
from pearrun.ids import PromptPartId


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt; parts with one id hold the same tokens."""

    id: PromptPartId
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Size of a generation.

    :param tokens: tokens of the whole prompt.
    :param output_tokens: most tokens that are generated.
    :param expected_tokens: the caller's guess of that; often far off.
    :param parts: the prompt's parts in order; the caller's own is last.
    """

    tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class Placed:
    """That a prompt was sent to an endpoint, which now caches its parts."""

    endpoint_id: EndpointId
    part_ids: tuple[PromptPartId, ...]
