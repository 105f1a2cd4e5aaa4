"""Validation of specs by their annotations.

It is a module of its own, used by :mod:`resources` alone, so that pydantic, which is slow to
import, is only loaded when a document is checked.
"""

import typing as t

from pydantic import ConfigDict
from pydantic import TypeAdapter
from pydantic import ValidationError

from .exceptions import ResourceInvalid

_ADAPTERS: dict[type[t.Any], TypeAdapter[t.Any]] = {}


def validate(cls: type[t.Any], spec: dict[str, t.Any]) -> t.Any:
    """Convert a mapping to a spec of the class.

    :raises ResourceInvalid: with every faulty field named.
    """
    try:
        return _adapter(cls).validate_python(spec)
    except ValidationError as error:
        raise ResourceInvalid(tuple(_describe(fault) for fault in error.errors())) from None


def _adapter(cls: type[t.Any]) -> TypeAdapter[t.Any]:
    """Return the type adapter of a class, created on first use."""
    if cls not in _ADAPTERS:
        _ADAPTERS[cls] = TypeAdapter(cls, config=ConfigDict(strict=False))
    return _ADAPTERS[cls]


def _describe(fault: t.Any) -> str:
    field = ".".join(str(part) for part in fault["loc"]) or "spec"
    return f"spec.{field}: {fault['msg']}"
