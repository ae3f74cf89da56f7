"""The scenarios under which policies are compared."""

from dataclasses import dataclass

from benchmarks.knowledge import Change, Setting
from godwitshunt.replay.deployments import Deployment
from godwitshunt.replay.generator import Demand, capacity_per_s


@dataclass(frozen=True)
class Scenario:
    """A load and what goes wrong under it.

    Parameters
    ----------
    load : float
        Offered requests as a share of the capacity.
    swing : float
        How far each region's load swings over the trace.
    """

    name: str
    load: float
    swing: float = 0.0
    lag_s: float = 0.1
    changes: tuple[Change, ...] = ()

    def demand(
        self,
        deployment: Deployment,
        duration_s: float,
        seed: int = 1,
    ) -> Demand:
        """Return what the trace is made from."""
        rate = self.load * capacity_per_s(deployment)
        return Demand(rate, duration_s, self.swing, seed)

    def setting(self, deployment: Deployment) -> Setting:
        """Return what the run is made under."""
        return Setting(deployment, self.lag_s, changes=self.changes)


def scenarios(
    deployment: Deployment,
    duration_s: float,
) -> tuple[Scenario, ...]:
    """Return all scenarios; changes take the middle third of the run."""
    first = deployment.regions[0]
    names = tuple(
        f'{first.name}-{number}' for number in range(first.model_servers)
    )
    third = duration_s / 3
    half = names[: len(names) // 2]
    loads = [
        Scenario('calm', 0.4),
        Scenario('70%', 0.7),
        Scenario('95%', 0.95),
        Scenario('100%', 1.0),
        Scenario('130%', 1.3),
        Scenario('daily peaks', 0.6, swing=0.5),
    ]
    faults = [
        Scenario('reports 2 s late', 0.7, lag_s=2.0),
        fault('half a region lost', Change(third, 2 * third, lost=half)),
        fault('partition', Change(third, 2 * third, cut=first.name)),
        fault('cold caches', Change(third, 1.2 * third, lost=names)),
    ]
    return tuple(loads + faults)


def fault(name: str, change: Change) -> Scenario:
    """Return a scenario in which something is lost for a while."""
    return Scenario(name, 0.7, changes=(change,))
