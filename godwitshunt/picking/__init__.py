"""Selection of the upstream or region for a request.

Each region has a picker, a control process that assigns destinations to all
entry VMs of the region with exact counts (`picker`, `service`). `client`
queries it from an entry VM, with a timeout. An entry VM whose picker does not
answer selects the upstream itself. Both rank upstreams and regions with
`chooser`; `attempt_recorder` updates the statistics that the ranking uses.
"""
