#!/usr/bin/env python3
"""Maintains the list of sources that have no lint findings, to skip them.

The key of a source is a hash of everything in the workspace that affects the
result of the linter: the source, each workspace header that it includes, the
configuration of the linter and its version. If any of them changes, the source
has to be linted again.

  lint_manifest.py pending           prints the sources that have to be linted
  lint_manifest.py record FILE...    records that these sources are clean
"""

import hashlib
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MANIFEST = ROOT / "scripts" / "lint-manifest.txt"


def run(*command):
    return subprocess.run(command, cwd=ROOT, check=True, capture_output=True,
                          text=True).stdout


def read_dependencies():
    """Maps each compiled source to the workspace files that it depends on."""
    dependencies = {}
    resolved = {}
    current = []
    for line in run("ninja", "-C", "build", "-t", "deps").splitlines():
        if line and not line.startswith(" "):
            current = []
            continue
        name = line.strip()
        if not name:
            continue
        if name not in resolved:
            path = (ROOT / "build" / name).resolve()
            resolved[name] = path if path.is_relative_to(ROOT) else None
        path = resolved[name]
        if path is None:
            continue
        current.append(path)
        # The first dependency of an object is its source.
        dependencies.setdefault(current[0], current)
    return dependencies


def make_keys():
    # The rest of the output names the processor, which differs between machines.
    version = re.search(r"version (\S+)", run("clang-tidy", "--version"))[1]
    linter_digest = hashlib.sha256(
        (version + (ROOT / ".clang-tidy").read_text()).encode()).digest()
    contents = {}
    keys = {}
    for source, files in read_dependencies().items():
        digest = hashlib.sha256(linter_digest)
        for path in sorted(set(files)):
            if path not in contents:
                contents[path] = hashlib.sha256(path.read_bytes()).digest()
            digest.update(str(path.relative_to(ROOT)).encode())
            digest.update(contents[path])
        keys[str(source.relative_to(ROOT))] = digest.hexdigest()
    return keys


def read_manifest():
    if not MANIFEST.exists():
        return {}
    rows = (line.split() for line in MANIFEST.read_text().splitlines())
    return {name: key for key, name in rows}


def list_sources():
    names = run("git", "ls-files", "-co", "--exclude-standard", "*.cc").split()
    return [name for name in names if "/generated/" not in name]


def main():
    keys = make_keys()
    manifest = read_manifest()
    if sys.argv[1:] == ["pending"]:
        for name in list_sources():
            if name not in keys or manifest.get(name) != keys[name]:
                print(name)
        return
    if len(sys.argv) < 2 or sys.argv[1] != "record":
        sys.exit(__doc__)
    for name in sys.argv[2:]:
        manifest[name] = keys[name]
    known = set(list_sources())
    lines = [f"{key} {name}" for name, key in sorted(manifest.items())
             if name in known]
    MANIFEST.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
