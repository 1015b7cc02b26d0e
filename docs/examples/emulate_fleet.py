"""Emulate a small fleet whose coordinator is killed, and judge what was seen."""

from emulator import Emulation, History, run_virtual, summarize
from proofs import Oracle, make_site


async def play() -> History:
    """Run five seconds of traffic with the coordinator killed midway."""
    async with Emulation(make_site(), seed=3) as emulation:
        emulation.start_traffic(seconds=5.0)
        await emulation.run(2.0)
        emulation.kill(emulation.find_coordinator())
        await emulation.run(8.0)
    return emulation.history


def main() -> str:
    """Return what came of it in one line."""
    history = run_virtual(play())
    site = make_site()
    summary = summarize(site, history)
    breaches = Oracle(site).find_breaches(history)
    return (
        f"{len(history.requests)} requests, {summary.whole:.2f} of the credit, "
        f"{len(breaches)} promises broken"
    )


if __name__ == "__main__":
    print(main())
