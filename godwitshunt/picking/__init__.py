"""Where a request goes: a region's picker, and each VM's own choice.

The parts: `choosing` weighs upstreams and regions by what is known of them,
`learner` keeps what attempts show, `picker` gives places to all entry VMs of a
region with exact counts, and `client` asks it and says when it must not be
waited for.
"""
