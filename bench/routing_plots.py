"""Plot the figures of routing, limits and zone changes.

Run ``python -m bench.routing_plots --data out --figures docs/figures``.
"""

import json
import pathlib

import defopt
import matplotlib as mpl

mpl.use("Agg")

import matplotlib.pyplot as plt

SIZE_IN = (7, 3.2)


def main(*, data: pathlib.Path, figures: pathlib.Path) -> None:
    """Plot the data files of the three experiments.

    :param data: directory of the JSON files
    :param figures: directory for the plots
    """
    figures.mkdir(parents=True, exist_ok=True)
    choice = json.loads((data / "routing-choice.json").read_text())["today"]
    _plot_choice(choice, figures / "routing-choice.svg")
    limits = json.loads((data / "routing-limits.json").read_text())["rows"]
    _plot_limits(limits, figures / "routing-limits.svg")
    zones = json.loads((data / "zone-change.json").read_text())["rows"]
    _plot_zones(zones, figures / "zone-change.svg")


def _plot_choice(rows: list[dict], path: pathlib.Path) -> None:
    figure, (left, right) = plt.subplots(1, 2, figsize=SIZE_IN)
    for policy in dict.fromkeys(row["policy"] for row in rows):
        policy_rows = [row for row in rows if row["policy"] == policy]
        offered = [row["offered_per_s"] for row in policy_rows]
        left.plot(offered, [row["goodput_per_s"] for row in policy_rows], label=policy)
        right.plot(offered, [row["first_token_ms"][1] for row in policy_rows])
    left.set(xlabel="offered, requests/s", ylabel="good answers/s")
    right.set(xlabel="offered, requests/s", ylabel="first token p95, ms")
    left.legend(fontsize=6, loc="lower right")
    _save(figure, path)


def _plot_limits(rows: list[dict], path: pathlib.Path) -> None:
    figure, axes = plt.subplots(figsize=SIZE_IN)
    rows = [row for row in rows if not row["cut_off"]]
    loads = sorted({row["offered_of_limit"] for row in rows})
    for policy in dict.fromkeys(row["way"] for row in rows):
        for entries, style in ((3, "-"), (55, "--")):
            shares = [
                row["admitted"] / row["one_exact_bucket_admits"]
                for row in rows
                if row["way"] == policy and row["entries"] == entries
            ]
            axes.plot(loads, shares, style, label=f"{policy}, {entries} entries")
    axes.set(xlabel="offered, of the limit", ylabel="admitted, of an exact bucket's")
    axes.legend(fontsize=6)
    _save(figure, path)


def _plot_zones(rows: list[dict], path: pathlib.Path) -> None:
    shapes = list(dict.fromkeys(row["shape"] for row in rows))
    figure, all_axes = plt.subplots(1, len(shapes), figsize=SIZE_IN)
    for axes, shape in zip(all_axes, shapes, strict=True):
        for row in rows:
            if row["shape"] != shape or row["change"] == "none":
                continue
            p95 = row["first_token_p95_ms"]
            style = "-" if row["way"] == "nutmegslip" else "--"
            label = f"{row['way']}, {row['change']}"
            axes.plot(list(p95), list(p95.values()), style, label=label)
        axes.set(title=shape, ylabel="first token p95, ms")
        axes.tick_params(axis="x", labelsize=6)
        axes.legend(fontsize=6)
    _save(figure, path)


def _save(figure: plt.Figure, path: pathlib.Path) -> None:
    figure.tight_layout()
    mpl.rcParams["svg.hashsalt"] = path.stem
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


if __name__ == "__main__":
    defopt.run(main)
