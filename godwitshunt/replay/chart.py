"""A chart of a replay's times to the first token, as a file."""

from pathlib import Path

from matplotlib.figure import Figure

from godwitshunt.replay.results import MICROSECONDS, Results

POINTS = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99)
INCHES = (9.0, 5.0)


def write_chart(path: Path, results: Results) -> None:
    """Draw the quantiles of the first token by class.

    Parameters
    ----------
    path : Path
        Its ending tells the format, such as ``.png`` or ``.svg``.
    results : Results
        What a replay measured.
    """
    figure = Figure(figsize=INCHES, layout='constrained')
    axes = figure.add_subplot()
    answered = [
        (name, timings)
        for name, timings in sorted(results.by_class.items())
        if timings.first.get_total_count()
    ]
    for name, timings in answered:
        seconds = [
            timings.first.get_value_at_percentile(point) / MICROSECONDS
            for point in POINTS
        ]
        shares = [1 - min(point, POINTS[-1]) / 100 for point in POINTS]
        axes.plot(shares, seconds, marker='o', label=name)
    axes.set_xscale('log')
    axes.invert_xaxis()
    axes.set_xlabel('share of requests that took longer')
    axes.set_ylabel('time to first token (s)')
    axes.set_title(
        f'cost {results.cost:.2f}, away {results.share_away:.3f}, '
        f'useful {results.useful_share:.3f}',
    )
    axes.grid(visible=True, which='both', alpha=0.3)
    if answered:
        axes.set_yscale('log')
        axes.legend()
    figure.savefig(path)
