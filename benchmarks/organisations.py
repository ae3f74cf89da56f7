"""What organisations cost a configuration and a look-up, by their number.

``python -m benchmarks.organisations`` prints, for each number, the bytes of the
whole document and of one key's change as VMs get them, the time until a VM has
them in force, and the time to find who holds a key.
"""

import json
import sys
import time
from dataclasses import dataclass

import defopt

from godwitshunt.configuration.delta import diff
from godwitshunt.configuration.document import (
    Document,
    document_of,
    pack,
    pack_document,
    revision_of,
)
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.manifest import (
    LimitUnit,
    Manifest,
    Organisation,
    OrganisationLimit,
    Region,
    RequestClass,
    Service,
    ServiceKind,
)
from godwitshunt.organisations import key_digest

KEYS_EACH = 10
LOOKUPS = 20_000
MICROSECONDS = 1e6
MILLISECONDS = 1e3


@dataclass(frozen=True)
class Cost:
    """What so many organisations cost."""

    organisations: int
    document_bytes: int
    change_bytes: int
    in_force_ms: float
    lookup_us: float


def make_key(owner: int, number: int) -> bytes:
    """Return a key, the same at each call."""
    return f'key-{owner}-{number}-{owner * 7919 + number}'.encode()


def make_manifest(number: int, count: int, keys: int) -> Manifest:
    """Return a manifest with organisations; the first has so many keys."""
    limit = OrganisationLimit(
        per_s=47_000,
        burst=47_000,
        unit=LimitUnit.tokens,
        untold_tokens=200,
    )
    numbers = [keys, *(KEYS_EACH for _ in range(count - 1))]
    organisations = tuple(
        Organisation(
            name=f'organisation-{owner}',
            keys_sha256=tuple(
                key_digest(make_key(owner, each)) for each in range(held)
            ),
            rank=owner % 3,
            limit=limit,
        )
        for owner, held in enumerate(numbers)
    )
    told = [one.model_dump(mode='json') for one in organisations]
    return Manifest(
        number=number,
        deployment='d',
        regions=(Region(name='a'),),
        services=(Service(name='s', kind=ServiceKind.plain),),
        classes=(RequestClass(name='c'),),
        organisations=organisations,
        origin=json.dumps(told),
    )


def as_vms_get_it(manifest: Manifest) -> Document:
    """Return the document of a manifest without the pipeline's own."""
    return document_of(manifest).without_origin()


def measure(count: int) -> Cost:
    """Return what so many organisations cost."""
    before = as_vms_get_it(make_manifest(1, count, KEYS_EACH))
    after = as_vms_get_it(make_manifest(2, count, KEYS_EACH - 1))
    began_s = time.perf_counter()
    active_revision = ActiveRevision.from_revision(revision_of(2, after))
    took_s = time.perf_counter() - began_s
    keys = active_revision.table.keys
    asked = [
        make_key(each % count, each % KEYS_EACH) for each in range(LOOKUPS)
    ]
    began_s = time.perf_counter()
    for key in asked:
        keys.find(key)
    looked_s = time.perf_counter() - began_s
    return Cost(
        count,
        len(pack_document(after)),
        len(pack(diff(before, after))),
        took_s * MILLISECONDS,
        looked_s / LOOKUPS * MICROSECONDS,
    )


def main(*, counts: tuple[int, ...] = (16, 2000)) -> None:
    """Print a row for each number of organisations."""
    for count in counts:
        cost = measure(count)
        sys.stdout.write(
            f'{cost.organisations} organisations: '
            f'whole {cost.document_bytes} B, one key less '
            f'{cost.change_bytes} B, in force after '
            f'{cost.in_force_ms:.1f} ms, look-up {cost.lookup_us:.2f} us\n',
        )


if __name__ == '__main__':
    defopt.run(main)
