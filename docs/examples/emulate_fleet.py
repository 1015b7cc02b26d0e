"""Emulate a small fleet whose coordinator is killed, and judge what was seen."""

from emulator import History, Stage, run_virtual, summarize
from proofs import Oracle, make_site


async def play() -> History:
    """Run five seconds of traffic with the coordinator killed midway."""
    async with Stage(make_site(), seed=3) as stage:
        stage.start_traffic(seconds=5.0)
        await stage.run(2.0)
        stage.kill(stage.find_coordinator())
        await stage.run(8.0)
    return stage.history


def main() -> str:
    """Return what came of it in one line."""
    history = run_virtual(play())
    site = make_site()
    figures = summarize(site, history)
    breaches = Oracle(site).find_breaches(history)
    return (
        f"{len(history.requests)} requests, {figures.whole:.2f} of the credit, "
        f"{len(breaches)} promises broken"
    )


if __name__ == "__main__":
    print(main())
