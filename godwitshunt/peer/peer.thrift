/** Frames between the system's processes: handshake, then envelopes. */
namespace py wire

/** First frame, from the process that connected. */
struct Opening {
  1: i16 protocol_version
  2: binary nonce
}

/** Second frame: the accepting process proves the key. */
struct Challenge {
  1: i16 protocol_version
  2: string name
  3: binary nonce
  /** HMAC-SHA-256 of the name and both nonces under the cluster key. */
  4: binary proof
}

/** Third frame: the connecting process proves it, too. */
struct Hello {
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
