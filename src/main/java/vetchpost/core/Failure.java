package vetchpost.core;

/** Why a request has failed; each protocol has its own word for it. */
public enum Failure {
    /** A request of the same id is in hand. */
    DUPLICATE_ID,
    /** Given up on, with no promise about its effect. */
    UNSERVED,
    /** The client's time has passed. */
    DEADLINE_EXCEEDED,
    /** Its path can be read in two ways, which would be a way round its route. */
    AMBIGUOUS_PATH,
    /** Its body is longer than its route allows. */
    BODY_TOO_LARGE,
    /** A fault of the node's own. */
    INTERNAL_ERROR
}
