"""Prompts and their parts, which several calls may share."""

import dataclasses

from pearrun.ids import EndpointId
from pearrun.ids import PromptPartId


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt; parts with equal ids have the same tokens."""

    id: PromptPartId
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Size and parts of a generation's prompt.

    :param tokens: tokens of the whole prompt.
    :param output_tokens: maximum number of tokens to generate.
    :param expected_tokens: the caller's estimate of the output tokens; often
        inaccurate.
    :param parts: the prompt's parts in order; the last one is not shared.
    """

    tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self):
        """The parts that other prompts may have in common with this one."""
        return self.parts[:-1]

    @property
    def shared_part_ids(self):
        """The ids of the shared parts, in order."""
        return tuple(part.id for part in self.shared_parts)


@dataclasses.dataclass(frozen=True)
class PromptPlacement:
    """A prompt that was sent to an endpoint, which now caches its parts."""

    endpoint_id: EndpointId
    part_ids: tuple[PromptPartId, ...]
