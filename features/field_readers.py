"""Which fields of what is decoded from the wire nobody reads, told by types.

``vulture`` goes by names, so a field that shares its name with one of another type passes there.
Here the fields are renamed in a copy of the sources, and the type checker names each place that
read one: whatever it does not name is read by nobody.
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
# Modules whose classes are made of what comes over the wire.
DECODED = {
    "rookspring_core/_endpoint_events.py": ("EndpointReported", "BoxListed"),
    "rookspring_core/notices.py": ("Notice",),
    "rookspring_core/routes.py": ("Route", "Split", "ModelSize", "EngineSize", "ServiceSize"),
    "rookspring_core/organisations.py": ("Organisation", "Allotment"),
    "rookspring/dialect.py": ("Ask", "Verdict", "OrderReply"),
    "rookspring/messages.py": (),
    "rookspring_platform/entries.py": ("Entry", "Held", "Copies", "Report"),
}
MARK = "_unread"


def find_fields(path, wanted):
    """List fields of a module's classes as class, field and line; all where none is named."""
    for node in ast.parse(path.read_text()).body:
        if not isinstance(node, ast.ClassDef) or (wanted and node.name not in wanted):
            continue
        for one in node.body:
            if isinstance(one, ast.AnnAssign) and isinstance(one.target, ast.Name):
                yield node.name, one.target.id, one.lineno


def list_fields(folder):
    """List all fields as module, class and field."""
    return {
        (module, name, field)
        for module, wanted in DECODED.items()
        for name, field, _ in find_fields(folder / module, wanted)
    }


def rename(path, fields):
    """Rename fields, given as class and field, in a module."""
    lines = path.read_text().split("\n")
    for name, field, number in find_fields(path, ()):
        if (name, field) in fields:
            lines[number - 1] = re.sub(rf"\b{field}\b", field + MARK, lines[number - 1], count=1)
    path.write_text("\n".join(lines))


def find_read(fields):
    """Give those of the fields that something reads, as class and field."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for source in SOURCES:
            shutil.copytree(ROOT / source, copy, dirs_exist_ok=True)
        for module in DECODED:
            rename(copy / module, {row[1:] for row in fields if row[0] == module})
        packages = [str(one) for one in sorted(copy.iterdir()) if one.is_dir()]
        options = ["--config-file", str(ROOT / "pyproject.toml"), "--cache-dir", str(copy / ".c")]
        done = subprocess.run(
            [sys.executable, "-m", "mypy", *options, "--no-error-summary", *packages],
            cwd=copy,
            env={"MYPYPATH": str(copy), "PATH": "/usr/bin:/bin"},
            capture_output=True,
            text=True,
            check=False,
        )
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stdout + done.stderr)
    return set(re.findall(r'"(\w+)" has no attribute "(\w+)"', done.stdout))


def find_unread():
    """Give the decoded fields that nobody reads, as ``Class.field``.

    What is reached through a field that was renamed as well has no type, so those that are not
    named are tried again, until no more are found to be read.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for source in SOURCES:
            shutil.copytree(ROOT / source, copy, dirs_exist_ok=True)
        fields = list_fields(copy)
    while True:
        read = find_read(fields)
        left = {row for row in fields if row[1:] not in read}
        if left == fields:
            return {f"{name}.{field}" for _, name, field in left}
        fields = left
