/** Frames between the system's processes: handshake, then envelopes. */
namespace py wire

/** First frame, from the process that accepted the connection. */
struct Challenge {
  1: i16 protocol_version
  2: binary nonce
}

/** Second frame, from the process that connected. */
struct Hello {
  1: i16 protocol_version
  2: string name
  3: binary nonce
  /** HMAC-SHA-256 of both nonces and the name under the cluster key. */
  4: binary proof
}

/** Third frame: the accepting process proves the key, too. */
struct Welcome {
  1: string name
  2: binary proof
}

/** Every later frame, in both directions. */
struct Envelope {
  1: i16 kind
  /** Pairs a reply with its call; 0 for a message without reply. */
  2: i64 call
  3: bool reply
  4: binary body
}
