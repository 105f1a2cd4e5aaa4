"""Finds fields of decoded types that no code reads, by means of the type checker.

``vulture`` compares names only, so it misses an unread field if another type has a field of the
same name. Here the fields are renamed in a copy of the sources, and mypy reports each place that
reads one. Fields that it does not report are unread.
"""

import ast
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = ("packages/rookspring-core/src", "packages/rookspring/src", "platform/src")
# The decoded types, by module; an empty tuple means all classes of the module.
DECODED = {
    "rookspring_core/_endpoint_events.py": ("EndpointReported", "BoxListed"),
    "rookspring_core/notices.py": ("Notice",),
    "rookspring_core/routes.py": ("Route", "Split", "ModelSize", "EngineSize", "ServiceSize"),
    "rookspring_core/organisations.py": ("Organisation", "Allotment"),
    "rookspring/dialect.py": ("RequestFields", "AnswerMatch", "OrderReply"),
    "rookspring/endpoints.py": ("Report", "CacheEvents", "StreamLine"),
    "rookspring/_configuration_messages.py": (),
    "rookspring/_endpoint_messages.py": (),
    "rookspring/_forward_messages.py": (),
    "rookspring/_node_messages.py": (),
    "rookspring/_owner_messages.py": (),
    "rookspring/message_rows.py": (),
    "rookspring_platform/entries.py": ("Entry", "ResidentModel", "CachedModels", "Report"),
}
SUFFIX = "_unread"


def find_fields(path, wanted):
    """Yield fields of a module as class, field and line.

    :param wanted: names of the classes; empty for all.
    """
    for node in ast.parse(path.read_text()).body:
        if not isinstance(node, ast.ClassDef) or (wanted and node.name not in wanted):
            continue
        for one in node.body:
            if isinstance(one, ast.AnnAssign) and isinstance(one.target, ast.Name):
                yield node.name, one.target.id, one.lineno


def list_fields(folder):
    """Return the fields of all decoded types, as module, class and field."""
    return {
        (module, name, field)
        for module, wanted in DECODED.items()
        for name, field, _ in find_fields(folder / module, wanted)
    }


def rename(path, fields):
    """Rename the definitions of fields in a module.

    :param fields: as class and field.
    """
    lines = path.read_text().split("\n")
    for name, field, number in find_fields(path, ()):
        if (name, field) in fields:
            lines[number - 1] = re.sub(rf"\b{field}\b", field + SUFFIX, lines[number - 1], count=1)
    path.write_text("\n".join(lines))


def copy_sources(folder):
    """Copy the sources into a folder, in place of those that it has."""
    for source in SOURCES:
        shutil.copytree(ROOT / source, folder, dirs_exist_ok=True)


def find_read(folder, fields):
    """Return the fields that are read somewhere, as class and field.

    :param folder: holds the copy of the sources, and keeps mypy's cache of what they import.
    """
    copy_sources(folder)
    for module in DECODED:
        rename(folder / module, {row[1:] for row in fields if row[0] == module})
    packages = [str(one) for one in sorted(folder.iterdir()) if one.name.startswith("rookspring")]
    options = ["--config-file", str(ROOT / "pyproject.toml"), "--cache-dir", str(folder / ".c")]
    done = subprocess.run(
        [sys.executable, "-m", "mypy", *options, "--no-error-summary", *packages],
        cwd=folder,
        env={"MYPYPATH": str(folder), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stdout + done.stderr)
    return set(re.findall(r'"(\w+)" has no attribute "(\w+)"', done.stdout))


def find_unread():
    """Return the decoded fields that no code reads, as ``Class.field``.

    A field that is reached through another renamed field has no type for mypy, so its reads are not
    reported. Fields without a report are therefore tried again, until none of them is found read.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_sources(folder)
        fields = list_fields(folder)
        while True:
            read = find_read(folder, fields)
            unread = {row for row in fields if row[1:] not in read}
            if unread == fields:
                return {f"{name}.{field}" for _, name, field in unread}
            fields = unread
