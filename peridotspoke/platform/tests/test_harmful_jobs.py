"""A node process under single jobs, of a few hundred bytes, that occupy it for long.

Each guards against a job that stops the pool for all others: it is in the store, so the
pool's next owner takes it over. A harmful job may be refused or accepted.
"""

import pytest

from peridotspoke.platform.tests.smallnode import SmallNode, check_bounds

STEP = {"count": 1, "cpu": 500}
HARMFUL = {
    "huge-estimate": {"steps": [STEP | {"estimateMs": 1e308}]},
    "huge-times": {
        "steps": [STEP],
        "repeatCount": 3,
        "firstMs": 1e308,
        "intervalMs": 1e308,
    },
    "always-due": {
        "steps": [STEP],
        "repeatCount": 100_000,
        "firstMs": 0,
        "intervalMs": 1,
    },
    "always-due-unplaced": {
        "steps": [STEP | {"requires": "nowhere"}],
        "repeatCount": 100_000,
        "firstMs": 0,
        "intervalMs": 1,
    },
    "huge-need": {"steps": [STEP | {"cpu": 10**400}]},
    "never-placed": {"steps": [STEP | {"cpu": 9 * 10**15}]},
}


@pytest.mark.parametrize("kind", HARMFUL)
async def test_another_job_is_completed_beside_a_harmful_one(alone, tmp_path, kind):
    async with SmallNode(tmp_path) as node:
        assert await node.submit(0xBAD, HARMFUL[kind]) in {200, 400}
        completed = True
        try:
            await node.complete(2)
        except TimeoutError:
            completed = False
        await check_bounds(node, kind, completed)
