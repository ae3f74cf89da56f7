/** Frames between godwitshunt processes: handshake, then envelopes. */
namespace py wire

/** First frame, sent by the connecting process. */
struct Opening {
  1: i16 protocol_version
  2: binary nonce
}

/** Second frame: proof of the cluster key by the accepting process. */
struct Challenge {
  1: i16 protocol_version
  2: string name
  3: binary nonce
  /** HMAC-SHA-256 of the name and both nonces under the cluster key. */
  4: binary proof
}

/** Third frame: proof of the cluster key by the connecting process. */
struct Hello {
  1: string name
  2: binary proof
}

/** Every frame after the handshake, in both directions. */
struct Envelope {
  1: i16 kind
  /** Matches a reply to its call; 0 for a message without a reply. */
  2: i64 call
  3: bool reply
  4: binary body
}
