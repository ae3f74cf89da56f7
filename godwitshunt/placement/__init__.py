"""Orders to upstreams with fencing numbers, limited by the weight store."""

from godwitshunt.placement.api import PlacementApi
from godwitshunt.placement.bucket import BucketOptions, WeightBucket
from godwitshunt.placement.reports import PlacementReporter
from godwitshunt.placement.task import PlacementTask

__all__ = [
    'BucketOptions',
    'PlacementApi',
    'PlacementReporter',
    'PlacementTask',
    'WeightBucket',
]
