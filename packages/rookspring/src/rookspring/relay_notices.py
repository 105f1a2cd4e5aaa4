"""What endpoints say of themselves in the heads of their answers: where it comes in."""

from .http_client import Hear
from .http_messages import HttpHead
from .logs import log
from .relay_context import RelayContext


def hear_at(context: RelayContext, endpoint: str, asked: str) -> Hear:
    """Make what takes the heads of an endpoint's answers to one thing that was asked of it.

    :param asked: the request's id, or what else was asked, for the log.
    """

    def hear(head: HttpHead) -> None:
        notice = context.dialect.read_notice(head)
        if notice.says_nothing():
            return
        log(
            "endpoint_said",
            endpoint=endpoint,
            asked=asked,
            status=head.status,
            life=notice.life,
            leaving=notice.leaving,
            rest_s=-1 if notice.rest_s is None else notice.rest_s,
            malformed=notice.malformed,
        )

    return hear
