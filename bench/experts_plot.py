"""Draw the curves of ``bench.experts_skew`` for the design page.

``python -m bench.experts_plot docs/figures/experts-skew.json`` writes one image
for each group size, next to the data file.
"""

import argparse
import json
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

STYLES = {
    "planned": "C0-",
    "greedy": "C1--",
    "informed": "C2:",
    "shares only": "C4-.",
    "fixed": "C3-",
}


def draw(content: dict, ranks: int, path: pathlib.Path) -> None:
    """Plot the ratio of step time to its bound in every scenario at one size."""
    scenarios = list(
        dict.fromkeys(r["scenario"] for r in content["rows"] if r["ranks"] == ranks)
    )
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 5.5), sharey=True, squeeze=False)
    for axis, scenario in zip(axes.flat, scenarios, strict=False):
        for policy, style in STYLES.items():
            curve = content["curves"].get(f"{ranks} {scenario} {policy}", [])
            axis.plot(curve, style, label=policy, linewidth=1)
        axis.set_ylim(1.0, 1.6)  # baselines beyond this range are in the table
        axis.set_title(f"{ranks} ranks, {scenario}", fontsize=9)
        axis.set_xlabel("part of the run, in 120ths", fontsize=8)
        axis.set_ylabel("step time over the bound", fontsize=8)
    axes.flat[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90, metadata={"Software": None})
    pyplot.close(figure)


def main() -> None:
    """Plot every group size in the data."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("data", type=pathlib.Path)
    arguments = parser.parse_args()
    content = json.loads(arguments.data.read_text())
    for ranks in sorted({row["ranks"] for row in content["rows"]}):
        draw(content, ranks, arguments.data.with_name(f"experts-skew-{ranks}.png"))


if __name__ == "__main__":
    main()
