"""Use the data plane's choice on its own: which backends prefill a prompt and decode its tokens."""

from random import Random

from cranebank.dataplane import prompt
from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.pair import PairChooser
from cranebank.dataplane.routes import Engine
from cranebank.transport.messages import Backend

candidates = Candidates()
for stage, count in (("prefill", 2), ("decode", 3)):
    candidates.merge(
        [Backend(f"{stage}-{n}", "chat", f"10.0.0.{n}:80", "a", stage, 16, "ready", 1) for n in range(count)]
    )
chooser = PairChooser(candidates, CacheView(), BlendedDraw(Random(7)))
engine = Engine(capacity=16, cache_tokens=400_000, token_bytes=163_840, link_mbps=1.4e6)
for token_counts, prompt_parts in (("383,6", "a:92,b:291"), ("17020,17", "s:13300,o:3720")):
    request = prompt.read({"x-token-counts": token_counts, "x-prompt-prefix": prompt_parts})
    plan = chooser.choose(0.0, "chat", engine, request, 600.0, set())
    assert plan is not None
    prefill_backend = plan.prefill_backend.backend.id if plan.prefill_backend is not None else "the same backend"
    print(f"{request.tokens} tokens: decode on {plan.decode_backend.backend.id}, prefill on {prefill_backend}")
