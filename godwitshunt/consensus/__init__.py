"""A replicated log (Raft) as a pure state machine, and its storage."""
