"""How long a backend of a stage takes to prefill, learnt from its answers."""

from __future__ import annotations

import msgspec


class LatencyModel(msgspec.Struct):
    """Prefill time at one stage of one service: a base and a time per token, in ms, learnt from answers.

    Of a prefill backend only answers count that found it idle. With waiting included, it would count twice where a
    queue is estimated, and the stage would look slower the higher its load.
    """

    base_ms: float
    token_ms: float
    weight: float = 4.0  # answers that the prior counts for
    mean_x: float = 0.0
    mean_y: float = 0.0
    var: float = 0.0
    cov: float = 0.0

    def learn(self, tokens: float, took_ms: float) -> None:
        """Update the model by a call that read so many tokens and took so long to its first byte: a decayed
        least-squares line."""
        gain = max(1.0 / self.weight, 0.02)
        self.weight += 1.0
        if self.var == 0.0:
            self.mean_x, self.mean_y = tokens, self.base_ms + self.token_ms * tokens
            self.var, self.cov = 1e6, self.token_ms * 1e6  # the prior's slope, as if it had been observed
        off_x, off_y = tokens - self.mean_x, took_ms - self.mean_y
        self.mean_x += gain * off_x
        self.mean_y += gain * off_y
        self.var += gain * (off_x * off_x - self.var)
        self.cov += gain * (off_x * off_y - self.cov)
        self.token_ms = min(max(self.cov / self.var, 0.002), 1.0)
        self.base_ms = max(0.0, self.mean_y - self.token_ms * self.mean_x)

    def estimate(self, tokens: float) -> float:
        """Return the milliseconds to the first byte."""
        return self.base_ms + self.token_ms * tokens


def prior(stage: str) -> LatencyModel:
    """Return the model before any observation: typical values, soon outweighed."""
    return LatencyModel(20.0, 0.02) if stage == "prefill" else LatencyModel(30.0, 0.04)
