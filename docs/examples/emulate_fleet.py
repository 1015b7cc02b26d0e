"""Emulate a small fleet whose coordinator is killed, and check the guarantees."""

from emulator import Emulation, History, run_virtual, summarize
from proofs import Oracle, make_site


async def emulate() -> History:
    """Run five seconds of traffic and kill the coordinator after two."""
    async with Emulation(make_site(), seed=3) as emulation:
        emulation.start_traffic(seconds=5.0)
        await emulation.run(2.0)
        emulation.kill(emulation.find_coordinator())
        await emulation.run(8.0)
    return emulation.history


def main() -> str:
    """Return a one-line summary."""
    history = run_virtual(emulate())
    site = make_site()
    summary = summarize(site, history)
    violations = Oracle(site).find_violations(history)
    return (
        f"{len(history.requests)} requests, {summary.whole:.2f} of the credit, "
        f"{len(violations)} guarantees violated"
    )


if __name__ == "__main__":
    print(main())
