"""Emulate a small fleet whose coordinator is killed, and judge what was seen."""

from emulator import Evidence, Stage, run_virtual, summarize
from proofs import Oracle, make_site


async def play() -> Evidence:
    """Run five seconds of traffic with the coordinator killed midway."""
    async with Stage(make_site(), seed=3) as stage:
        stage.start_traffic(seconds=5.0)
        await stage.run(2.0)
        stage.kill(stage.find_coordinator())
        await stage.run(8.0)
    return stage.evidence


def main() -> str:
    """Return what came of it in one line."""
    evidence = run_virtual(play())
    site = make_site()
    figures = summarize(site, evidence)
    violations = Oracle(site).find_violations(evidence)
    return (
        f"{len(evidence.requests)} requests, {figures.whole:.2f} of the credit, "
        f"{len(violations)} promises broken"
    )


if __name__ == "__main__":
    print(main())
