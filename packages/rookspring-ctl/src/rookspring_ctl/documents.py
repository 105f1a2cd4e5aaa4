"""Resource documents in YAML or JSON files, and the differences between two."""

import pathlib
import sys
import typing as t

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
    """One resource as a file declares it."""

    kind: str
    name: str
    spec: dict[str, t.Any]
    version: int | None = None


def kind_of(text: str) -> str:
    """Give the kind that an operator means.

    :raises UsageError: when there is none.
    """
    found = KINDS.get(text.lower())
    if found is None:
        names = ", ".join(sorted(set(KINDS.values())))
        raise UsageError(f"KIND: one of {names} was expected, not {text!r}")
    return found


def read_documents(path: str) -> list[Document]:
    """Read all documents of a file; ``-`` is standard input.

    :raises UsageError: naming the file, the document and the field at fault.
    """
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
        raw = [one for one in yaml.safe_load_all(text) if one is not None]
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: {' '.join(str(error).split())}") from None
    return [_read_one(path, number, one) for number, one in enumerate(raw, 1)]


def _read_one(path: str, number: int, raw: t.Any) -> Document:
    where = f"{path}, document {number}"
    if not isinstance(raw, dict):
        raise UsageError(f"{where}: a mapping was expected")
    for field in ("kind", "name", "spec"):
        if field not in raw:
            raise UsageError(f"{where}: {field} is missing")
    unknown = sorted(set(raw) - {"kind", "name", "spec", "version", "status"})
    if unknown:
        raise UsageError(f"{where}: {unknown[0]}: unknown field")
    if not isinstance(raw["spec"], dict):
        raise UsageError(f"{where}: spec: a mapping was expected")
    version = raw.get("version")
    if version is not None and not isinstance(version, int):
        raise UsageError(f"{where}: version: a whole number was expected")
    return Document(kind_of(str(raw["kind"])), str(raw["name"]), raw["spec"], version)


def compare(declared: dict[str, t.Any], found: dict[str, t.Any]) -> list[str]:
    """List how a declared spec differs from the one found; absent fields keep defaults."""
    lines: list[str] = []
    for field, value in declared.items():
        known = found.get(field)
        same = list(known) == list(value) if isinstance(known, list) else known == value
        if not same:
            lines.append(f"  {field}: {known!r} -> {value!r}")
    return lines
