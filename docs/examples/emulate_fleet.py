"""Emulate a small fleet whose coordinator is killed, and check the guarantees."""

from emulator import Evidence, Stage, run_virtual, summarize
from proofs import Oracle, make_site


async def emulate() -> Evidence:
    """Run five seconds of traffic and kill the coordinator after two."""
    async with Stage(make_site(), seed=3) as stage:
        stage.start_traffic(seconds=5.0)
        await stage.run(2.0)
        stage.kill(stage.find_coordinator())
        await stage.run(8.0)
    return stage.evidence


def main() -> str:
    """Return a one-line summary."""
    evidence = run_virtual(emulate())
    site = make_site()
    figures = summarize(site, evidence)
    violations = Oracle(site).find_violations(evidence)
    return (
        f"{len(evidence.requests)} requests, {figures.whole:.2f} of the credit, "
        f"{len(violations)} guarantees violated"
    )


if __name__ == "__main__":
    print(main())
