"""What an attempt says of the upstream that was asked, told to routing."""

from dataclasses import dataclass

from godwitshunt.exchange import messages as msg
from godwitshunt.exchange.ports import Ports
from godwitshunt.routing.messages import Serve
from godwitshunt.routing.outliers import Answered, AttemptOutcome, Failed


@dataclass
class AttemptHealth:
    """Tells routing what came of each attempt.

    Parameters
    ----------
    ports : Ports
        Take what is told.
    sent_s : float
        When the present attempt began, on the timer's clock.
    told : bool
        Whether the present attempt has said anything yet.
    """

    ports: Ports
    sent_s: float = 0.0
    told: bool = False

    def begin(self) -> None:
        """Begin a new attempt."""
        self.sent_s = self.ports.timer.now()
        self.told = False

    def hear(self, target: msg.Target, event: msg.Event) -> None:
        """Tell what an event says of an upstream of this region.

        The time of a whole answer holds its length, which no prediction of
        the first token knows: it counts as answered just as predicted.
        """
        if not isinstance(target, Serve):
            return
        match event:
            case msg.AttemptFailed() | msg.StreamBroke():
                self.tell(target, Failed())
            case msg.AnswerArrived():
                predicted_s = target.predicted_s
                self.tell(target, Answered(predicted_s, predicted_s))

    def hear_first_token(self, target: msg.Target) -> None:
        """Tell how well the first token of a stream was predicted."""
        if isinstance(target, Serve):
            took_s = self.ports.timer.now() - self.sent_s
            self.tell(target, Answered(took_s, target.predicted_s))

    def tell(self, target: Serve, outcome: AttemptOutcome) -> None:
        """Tell one outcome."""
        self.told = True
        self.ports.record_outcome(target.upstream, outcome)

    def end(self, target: Serve) -> None:
        """Count the end of an attempt; one that said nothing is abandoned."""
        upstream = target.upstream
        if not self.told:
            self.ports.record_abandoned(upstream)
        membership = self.ports.membership
        membership.record_finished(upstream.name, target.uncached_tokens)
