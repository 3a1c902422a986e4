#!/usr/bin/env python3
"""Sums the use of the client accounts over several daemons.

usage: examples/accounts/sum_use.py [--command PATH] ADDRESS:PORT...

Each address is the operators' listener of a daemon. A daemon counts the calls of its own host's callers only.
"""

import argparse
import json
import subprocess
import sys


def read_accounts(command, address):
    result = subprocess.run([command, "accounts", "--output", "json", "--address", address],
                            capture_output=True, text=True, check=False)
    if result.returncode != 0:
        print(f"{address}: {result.stderr.strip()}", file=sys.stderr)
        return []
    return json.loads(result.stdout)["accounts"]


def main():
    parser = argparse.ArgumentParser(description="Sums the use of the client accounts over several daemons.")
    parser.add_argument("--command", default="boragehollow", help="path of the command line program")
    parser.add_argument("addresses", nargs="+", metavar="ADDRESS:PORT")
    arguments = parser.parse_args()
    totals = {}
    for address in arguments.addresses:
        for account in read_accounts(arguments.command, address):
            total = totals.setdefault(account["name"], {"limit": 0, "rate": 0.0, "calls": {}})
            total["limit"] = account["rate_limit"]
            total["rate"] += account["rate_in_use"]
            for end, count in account["calls"].items():
                total["calls"][end] = total["calls"].get(end, 0) + count
    for name, total in sorted(totals.items()):
        refused = {end: count for end, count in total["calls"].items() if end != "answered" and count > 0}
        print(f"{name}: {total['rate']:.1f} of {total['limit']:g} calls a second, "
              f"{total['calls'].get('answered', 0)} answered, refused {refused}")


if __name__ == "__main__":
    main()
