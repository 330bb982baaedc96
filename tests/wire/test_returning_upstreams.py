"""A host that learns late of an upstream's restart must not fail its requests there."""

import trio

from pepperstep.ports.exchange import Answer, Exchange
from standins.platform_site import Site, StandInUpstream
from tests.wire.test_wire import KEY, start_all

WORK_SECONDS = 2.0


class ReturningUpstream(StandInUpstream):
    """An upstream that announces when it was started, and takes time for requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.born = round(1000 * trio.current_time())

    async def handle(self, exchange: Exchange) -> None:
        """Answer after some work."""
        self.seen.append(exchange.head)
        await trio.sleep(WORK_SECONDS)
        headers = (
            (b"pepperstep-attempt-id", exchange.head.first(b"pepperstep-attempt-id")),
        )
        await exchange.answer(Answer(200, exchange.body, headers))

    def beat(self) -> bytes:
        """Return the body of the next announcement, with the time of the start."""
        return super().beat()[:-1] + b', "born": %d}' % self.born


async def test_request_at_restarted_upstream_is_cut_by_news_of_the_restart(tmp_path):
    async with Site.open(tmp_path) as site:
        await start_all(site)
        await site.upstream("u2", "plain", 10, ReturningUpstream)
        site.crash("u1")

        async def is_known() -> bool:
            answer = await site.request("entry-4", "/once/0", KEY)
            return answer is not None and answer.status == 200

        await site.wait(is_known)
        site.crash("u2")
        # The host learns here that the upstream's process is gone.
        refused = await site.request("entry-4", "/once/1", KEY)
        assert refused.status in (502, 503)

        class Unannounced(ReturningUpstream):
            def __init__(self, *arguments):
                super().__init__(*arguments)
                self.state = ""

        answers = []
        async with trio.open_nursery() as nursery:
            returned = await site.upstream("u2", "plain", 10, Unannounced)

            async def send() -> None:
                while not returned.seen:
                    answers.append(await site.request("entry-4", "/once/2", KEY))
                    await trio.sleep(0.1)

            nursery.start_soon(send)
            with trio.fail_after(10.0):
                while not returned.seen:
                    await trio.sleep(0.01)
            returned.state = "ready"
        assert answers[-1].status == 200
