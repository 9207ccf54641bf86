#!/usr/bin/env python3
"""Applies the mutations of table.toml one by one to a scratch copy and tells which test catches each.

    tools/mutations/run.py [--list] [--jobs N] SCRATCH_FOLDER [NAME...]

A mutation is tried against the tests in their order, its own quick ones first, until one fails. A text that is
not found exactly once ends the run: the table is then to be brought up to date. Each result is a row of the
table in docs/mutations.md.
"""
import argparse
import os
import pathlib
import re
import shutil
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROTOCOL = "chain-replication"
STATE = "control-state"
STATE_TESTS = ["accepted_changes", "claims_model", "route_config_model", "route_config_properties"]
# All tests of the crates, as (crate, target), those that take least time first.
TARGETS = (
    [(STATE, target) for target in ["lib", *STATE_TESTS, "doc"]]
    + [
        (PROTOCOL, target)
        for target in ["lib", "restarts", "guards", "learning", "large_entries", "catch_up", "repeated_orders_sim", "listing_sim",
                       "partitions", "chain_sim", "members_sim", "freshness_sim", "half_chosen_view_sim", "linearizability",
                       "explore", "second_loss", "doc"]
    ]
    + [("control-server", target) for target in ["lib", "disk", "power_loss", "driver", "silent_majority"]]
)
USUAL_QUICK = ["guards", "restarts", "learning"]
TEST_SECONDS_MAX = 400


class Outdated(Exception):
    """A text of the table is not in the sources, or more than once."""


def replacements(mutation):
    yield mutation["file"], mutation["find"], mutation["replace"]
    yield from mutation.get("also", [])


def source_file(name):
    """A source file of the protocol or of the replicated state, by its name."""
    found = [path for crate in (PROTOCOL, STATE) if (ROOT / (path := pathlib.Path("crates") / crate / "src" / name)).exists()]
    if len(found) != 1:
        raise Outdated(f"{name} stands in {len(found)} crates")
    return found[0]


def mutated(root, mutation):
    """The texts of the changed files, by path."""
    texts = {}
    for name, find, replace in replacements(mutation):
        source = source_file(name)
        path = root / source
        text = texts.get(path) or (ROOT / source).read_text()
        if text.count(find) != 1:
            raise Outdated(f"{mutation['name']}: {text.count(find)} times in {name}: {find}")
        texts[path] = text.replace(find, replace)
    return texts


def copy_sources(scratch):
    listed = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT, check=True,
                            capture_output=True, text=True).stdout
    for name in listed.splitlines():
        if name.startswith("journal/") or not (ROOT / name).is_file():
            continue
        target = scratch / name
        target.parent.mkdir(parents=True, exist_ok=True)
        if not target.exists() or target.read_bytes() != (ROOT / name).read_bytes():
            shutil.copyfile(ROOT / name, target)


def command(crate, target, only, jobs):
    words = ["cargo", "test", "--quiet", "--locked", f"-j{jobs}", "-p", crate]
    words += [f"--{target}"] if target in ("lib", "doc") else ["--test", target]
    skipped = [word for test in known_red() for word in ("--skip", test)]
    return words + ["--", f"--test-threads={jobs}"] + skipped + ([only] if only else [])


def known_red():
    """Tests that fail without any mutation, and so tell nothing."""
    listed = ROOT / "KNOWN-RED.txt"
    lines = listed.read_text().splitlines() if listed.exists() else []
    return [line.split("|")[0].strip() for line in lines if line.strip()]



def try_tests(scratch, crate, target, only, jobs):
    """The name of a test that fails, or nothing."""
    try:
        done = subprocess.run(command(crate, target, only, jobs), cwd=scratch, timeout=TEST_SECONDS_MAX,
                              capture_output=True, text=True, env=os.environ | {"EXPLORE_THREADS": str(jobs)})
    except subprocess.TimeoutExpired:
        return f"`{target}` did not end in {TEST_SECONDS_MAX} s"
    if done.returncode == 0:
        return None
    if "error: could not compile" in done.stderr:
        return f"does not compile: {done.stderr[-800:]}"
    listed = re.search(r"^failures:\n((?:    \S.*\n)+)", done.stdout, re.MULTILINE)
    names = listed.group(1).split("\n") if listed else ["(ended)"]
    return f"`{target}`: `{names[0].strip()}`"


def order(mutation):
    """The quick tests of a mutation, then all."""
    quick = [name.partition(":") for name in mutation.get("quick", USUAL_QUICK)]
    for target, _, only in quick:
        yield STATE if target in STATE_TESTS else PROTOCOL, target, only
    whole = {target for target, _, only in quick if not only}
    yield from ((crate, target, "") for crate, target in TARGETS if target not in whole)


def catch(scratch, mutation, jobs):
    changed = mutated(scratch, mutation)
    for path, text in changed.items():
        path.write_text(text)
    try:
        for crate, target, only in order(mutation):
            if caught := try_tests(scratch, crate, target, only, jobs):
                return caught
        return "**nothing**"
    finally:
        for path in changed:
            path.write_text((ROOT / path.relative_to(scratch)).read_text())


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("scratch", type=pathlib.Path)
    arguments.add_argument("--list", action="store_true", help="only check that the table is up to date")
    arguments.add_argument("--jobs", type=int, default=2)
    arguments.add_argument("names", nargs="*")
    given = arguments.parse_args()
    table = tomllib.loads((ROOT / "tools/mutations/table.toml").read_text())["mutation"]
    for mutation in table:
        mutated(given.scratch, mutation)
    chosen = [mutation for mutation in table if not given.names or mutation["name"] in given.names]
    if given.list:
        print("\n".join(mutation["name"] for mutation in chosen))
        return
    copy_sources(given.scratch)
    for mutation in chosen:
        begun = time.monotonic()
        caught = catch(given.scratch, mutation, given.jobs)
        print(f"| {mutation['name']} | {caught} | {time.monotonic() - begun:.0f} |", flush=True)


if __name__ == "__main__":
    try:
        main()
    except Outdated as error:
        sys.exit(f"the table is out of date: {error}")
