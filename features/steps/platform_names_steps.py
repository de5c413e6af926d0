"""Steps on the borders of the adapter."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import ast
import json
import pathlib
import re
import tempfile

from behave import then, when
from reelscale_core import settings

ROOT = pathlib.Path(__file__).parent.parent.parent
ADAPTER = ROOT / "platform"
# Names of the platform's pages that none of our own is like.
NAMES = re.compile(
    r"not[-_]executed|expect[-_]instance|response[-_]stamp|prompt[-_]prefix"
    r"|token[-_]count|length[-_]hint|deadline-ms|last[-_]event[-_]id"
    r"|server[-_]load|log[-_]append|log[-_]read|log[-_]newest|log[-_]join"
    r"|log[-_]commit|log[-_]owners|log[-_]trim|keyed\.(op|servers|status)"
    r"|slo_ms|gap_aim_ms|if_rev|cold_left_ms|api_keys|max_conns|key_file"
    r"|/api/(report|order|picked|readyz)|draining['\"]",
    re.IGNORECASE,
)
CODE = ("packages", "bench", "tools", "examples")
FILTER_TYPES = {"call", "routed"}
# What the template takes from the platform's fields, with values like its.
FIELDS = {
    "node_name": "front-a-1",
    "zone": "a",
    "ip": "10.1.0.40",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "listen.control": "10.1.0.40:8229",
    "port_range.0": 7340,
    "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "platform.addr": "10.200.1.7:8223",
    "bounds.grace_s": 8,
    "limits.max_fds": 4200,
    "bounds.retry_ratio": 0.2,
}


def _sources(folder):
    return [
        path
        for path in sorted((ROOT / folder).rglob("*"))
        if path.suffix in (".py", ".json", ".thrift", ".toml")
        and "__pycache__" not in path.parts
        and not any(part.endswith(".egg-info") for part in path.parts)
    ]


@then("no file outside the adapter, its tests and its stand-ins says one")
def _(context):
    files = [path for folder in CODE for path in _sources(folder)]
    assert len(files) > 50, len(files)
    found = [
        f"{path.relative_to(ROOT)}: {hit.group(0)}"
        for path in files
        for hit in NAMES.finditer(path.read_text())
    ]
    assert found == [], found


@then("its Python files have fewer than {count:d} lines")
def _(context, count):
    files = [path for path in _sources("platform") if path.suffix == ".py"]
    lines = sum(len(path.read_text().splitlines()) for path in files)
    assert 100 < lines < count, lines


@then("it imports no controller and no filter but their types")
def _(context):
    for path in _sources("platform"):
        if path.suffix != ".py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                module = node.module or ""
                names = {item.name for item in node.names}
                assert "controllers" not in module, (path, module)
                if module == "reelscale_daemon.filters":
                    assert names <= FILTER_TYPES, (path, names)


@when("the template is filled in as the platform does it")
def _(context):
    text = (ADAPTER / "settings.template.json").read_text()

    def fill(gap):
        value = FIELDS[gap.group(1)]
        return json.dumps(value) if gap.group(2) else str(value)

    context.filled = re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


@then("the settings are read without a fault")
def _(context):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(context.filled)
        file.flush()
        read = settings.read(file.name, role="entry")
    assert read.name == "front-a-1"
    assert read.usage == "10.1.0.40:7340"
    assert read.descriptors == 4200
