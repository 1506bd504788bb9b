"""Measure how costs grow with size and write them for the target deployment."""

import json
import pathlib

import defopt

from bench import capacity_configuration


def main(*, out: pathlib.Path) -> int:
    """Measure and print every line, and write all of them as JSON.

    :param out: file to write
    """
    lines = []
    for line in capacity_configuration.measure():
        lines.append(line._asdict())
        print(
            f"{line.quantity}: {line.at_target:.4g} {line.unit} "
            f"at {line.target:g} {line.over} "
            f"(slope {line.slope:.4g}, r2 {line.r_squared:.3f})",
            flush=True,
        )
        out.write_text(json.dumps(lines, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(defopt.run(main))
