"""Resource documents in YAML or JSON files, and differences between specs."""

import pathlib
import sys
import typing as t

import orjson
import yaml

from .exceptions import UsageError

KINDS = {
    "model": "Model",
    "models": "Model",
    "adapter": "Adapter",
    "adapters": "Adapter",
    "service": "Service",
    "services": "Service",
    "team": "Team",
    "teams": "Team",
    "policy": "Policy",
    "policies": "Policy",
}


class Document(t.NamedTuple):
    """A resource as a file declares it.

    :param version: that the stored resource must have for a change; None if not stated.
    """

    kind: str
    name: str
    spec: dict[str, t.Any]
    version: int | None = None


def parse_kind(text: str) -> str:
    """Return the kind for an operator's spelling of it: any case, singular or plural.

    :raises UsageError: if there is no such kind.
    """
    found = KINDS.get(text.lower())
    if found is None:
        names = ", ".join(sorted(set(KINDS.values())))
        raise UsageError(f"KIND: one of {names} was expected, not {text!r}")
    return found


def read_documents(path: str) -> list[Document]:
    """Read all documents of a file; ``-`` is standard input.

    :raises UsageError: if the file can't be read or a document is invalid; the message names the
        file and, if known, the document and the field.
    """
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
        raw = [one for one in yaml.safe_load_all(text) if one is not None]
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, ValueError) as error:
        # A number or date that can't be read is a ValueError, and so is text that is not UTF-8.
        raise UsageError(f"{path}: {' '.join(str(error).split())}") from None
    except RecursionError:
        raise UsageError(f"{path}: nested too deeply") from None
    return [_parse_document(path, number, one) for number, one in enumerate(raw, 1)]


def _parse_document(path: str, number: int, raw: t.Any) -> Document:
    location = f"{path}, document {number}"
    if not isinstance(raw, dict):
        raise UsageError(f"{location}: a mapping was expected")
    for field in ("kind", "name", "spec"):
        if field not in raw:
            raise UsageError(f"{location}: {field} is missing")
    unknown = sorted(map(str, set(raw) - {"kind", "name", "spec", "version", "status"}))
    if unknown:
        raise UsageError(f"{location}: {unknown[0]}: unknown field")
    if not isinstance(raw["spec"], dict):
        raise UsageError(f"{location}: spec: a mapping was expected")
    version = raw.get("version")
    if version is not None and not isinstance(version, int):
        raise UsageError(f"{location}: version: a whole number was expected")
    try:
        orjson.dumps(raw["spec"])
    except orjson.JSONEncodeError as error:
        raise UsageError(f"{location}: spec: {error}") from None
    return Document(parse_kind(str(raw["kind"])), str(raw["name"]), raw["spec"], version)


def diff_specs(declared: dict[str, t.Any], found: dict[str, t.Any]) -> list[str]:
    """List the differences between a declared spec and the stored one, a line for each field.

    A field that the declared spec lacks is not compared: it keeps its default.
    """
    lines: list[str] = []
    for field, value in declared.items():
        known = found.get(field)
        same = list(known) == list(value) if isinstance(known, list) else known == value
        if not same:
            lines.append(f"  {field}: {known!r} -> {value!r}")
    return lines
