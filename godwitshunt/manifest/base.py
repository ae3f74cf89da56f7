"""Base types of all document models."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Digest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


class StrictModel(BaseModel):
    """Base of immutable models that reject unknown fields."""

    model_config = ConfigDict(extra='forbid', frozen=True)
