#!/usr/bin/env python3
"""Lists circles of imports between the modules of each crate.

    tools/import-cycles/run.py [ROOT]

A file imports another one of its crate where it names it by `crate::`, `super::` or `self::` outside of comments. A circle
is a set of files each of which reaches all others of the set by imports.
"""
import pathlib
import re
import sys


def module_of(source, file):
    """The module path of a file, as a tuple of names; the crate's root is the empty tuple."""
    parts = list(file.relative_to(source).with_suffix("").parts)
    if parts[-1] in ("mod", "lib", "main"):
        parts.pop()
    return tuple(parts)


def without_comments(text):
    return re.sub(r"//[^\n]*", "", text)


def paths_of(tree, prefix=()):
    """The paths that a `use` tree names."""
    tree = tree.strip()
    head, brace, rest = tree.partition("{")
    names = tuple(name.strip() for name in head.split("::") if name.strip())
    if not brace:
        yield prefix + tuple(name.split(" as ")[0] for name in names)
        return
    depth, item = 0, ""
    for char in rest[: rest.rindex("}")]:
        depth += (char == "{") - (char == "}")
        if char == "," and depth == 0:
            yield from paths_of(item, prefix + names)
            item = ""
        else:
            item += char
    if item.strip():
        yield from paths_of(item, prefix + names)


def named_paths(text):
    uses = re.findall(r"\buse\s+((?:crate|super|self)::[^;]+);", text)
    for tree in uses:
        yield from paths_of(tree)
    rest = re.sub(r"\buse\s+[^;]+;", "", text)
    for path in re.findall(r"\b((?:crate|super|self)(?:::\w+)+)", rest):
        yield tuple(path.split("::"))


def imports(module, text, modules):
    for path in named_paths(without_comments(text)):
        base = list(module)
        names = list(path)
        if names[0] == "crate":
            base, names = [], names[1:]
        while names and names[0] in ("super", "self"):
            if names.pop(0) == "super" and base:
                base.pop()
        target = tuple(base + names)
        while target and target not in modules:
            target = target[:-1]
        if target and target != module:
            yield target


def circles(graph):
    """The sets of modules that reach each other, of two modules or more."""
    reached = {}
    for start in graph:
        seen, todo = set(), [start]
        while todo:
            for target in graph.get(todo.pop(), ()):
                if target not in seen:
                    seen.add(target)
                    todo.append(target)
        reached[start] = seen
    found, done = [], set()
    for module in graph:
        if module in done or module not in reached[module]:
            continue
        circle = {other for other in reached[module] if module in reached.get(other, ())}
        done |= circle
        if len(circle) > 1:
            found.append(sorted(circle))
    return found


def main(root):
    total = 0
    for source in sorted([*root.glob("crates/*/src"), *root.glob("platform/src"), *root.glob("platform/*/src")]):
        files = {module_of(source, file): file for file in source.rglob("*.rs")}
        graph = {module: set(imports(module, file.read_text(), files)) for module, file in files.items()}
        for circle in sorted(circles(graph), key=len, reverse=True):
            total += 1
            print(f"{source.parent.relative_to(root)}: {len(circle)} files: {', '.join('::'.join(m) for m in circle)}")
    print(f"{total} circles")


main(pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "."))
