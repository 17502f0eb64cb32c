"""Models of the request bodies that callers send."""

import pydantic


class CompletionBody(pydantic.BaseModel):
    """Body of ``POST /v1/completions``, OpenAI-style.

    ``model`` names the service; ``user`` names the customer.
    """

    model_config = pydantic.ConfigDict(extra='ignore')

    model: str = pydantic.Field(min_length=1)
    prompt: str
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=65536)
    stream: bool = False
    seed: int = 0
    user: str | None = None


class ChatMessage(pydantic.BaseModel):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(pydantic.BaseModel):
    """Body of ``POST /v1/chat/completions``, OpenAI-style."""

    model_config = pydantic.ConfigDict(extra='ignore')

    model: str = pydantic.Field(min_length=1)
    messages: list[ChatMessage] = pydantic.Field(min_length=1)
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=65536)
    stream: bool = False
    seed: int = 0
    user: str | None = None

    def to_completion(self):
        """Convert the chat to a :class:`CompletionBody` with one prompt."""
        prompt = '\n'.join(f'{m.role}: {m.content}' for m in self.messages)
        return CompletionBody(
            model=self.model,
            prompt=prompt,
            max_tokens=self.max_tokens,
            stream=self.stream,
            seed=self.seed,
            user=self.user,
        )
