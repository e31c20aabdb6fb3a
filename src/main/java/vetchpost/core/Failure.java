package vetchpost.core;

/** Why a request has failed; each protocol has its own representation of it. */
public enum Failure {
    /** A request with the same id is pending. */
    DUPLICATE_ID,
    /** Given up; whether it took effect is unknown. */
    UNSERVED,
    /** The client's deadline has passed. */
    DEADLINE_EXCEEDED,
    /** The path can be read in two ways, which could bypass the request's route. */
    AMBIGUOUS_PATH,
    /** The body is longer than the route allows. */
    BODY_TOO_LARGE,
    /** An internal error of the node. */
    INTERNAL_ERROR
}
