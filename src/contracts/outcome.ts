/**
 * Outcomes of requests, and the complete list of reasons for refusals and failures. Each reason has an HTTP status
 * code, tells whether the caller may send the request again unchanged, and has its own counter.
 */

/** What the caller may conclude: the request ran and was answered, it did not run, or it may have run. */
export const outcomes = { answered: "answered", notRun: "not-run", unknown: "unknown" } as const;
export type Outcome = (typeof outcomes)[keyof typeof outcomes];

/** Headers that callers and the entry host exchange. */
export const callerHeaders = {
    key: "carobpier-key",
    attempt: "carobpier-attempt",
    deadline: "carobpier-deadline",
    idempotencyKey: "idempotency-key",
    outcome: "carobpier-outcome",
    reason: "carobpier-reason",
    requestId: "carobpier-request-id",
} as const;

/** Properties of a reason. `title` is the short description that is sent to the caller. */
export type ReasonProperties = {
    outcome: Outcome;
    statusCode: number;
    /** Whether the caller may send the same request again after the `Retry-After` time of the answer. */
    sendAgain: boolean;
    title: string;
};

/** Every reason for which a request ends without an answer from a target. */
export const reasons = {
    "malformed-request": { outcome: "not-run", statusCode: 400, sendAgain: false, title: "The request is not valid." },
    "head-too-large": { outcome: "not-run", statusCode: 431, sendAgain: false, title: "The head is over its limit." },
    "read-timed-out": { outcome: "not-run", statusCode: 408, sendAgain: true, title: "It did not arrive in time." },
    "body-too-large": { outcome: "not-run", statusCode: 413, sendAgain: false, title: "The body is over its limit." },
    "memory-full": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The memory for bodies is full." },
    "unknown-pool": { outcome: "not-run", statusCode: 404, sendAgain: false, title: "The pool does not exist." },
    "unknown-route": { outcome: "not-run", statusCode: 404, sendAgain: false, title: "No route of the pool matches." },
    "missing-key": { outcome: "not-run", statusCode: 400, sendAgain: false, title: "The pool needs a Carobpier-Key." },
    "missing-id": {
        outcome: "not-run",
        statusCode: 400,
        sendAgain: false,
        title: "The route needs an Idempotency-Key.",
    },
    "unknown-caller": { outcome: "not-run", statusCode: 401, sendAgain: false, title: "The token is not accepted." },
    "pool-not-allowed": { outcome: "not-run", statusCode: 403, sendAgain: false, title: "The plan excludes the pool." },
    "route-not-allowed": {
        outcome: "not-run",
        statusCode: 403,
        sendAgain: false,
        title: "The plan excludes the route.",
    },
    "key-not-allowed": { outcome: "not-run", statusCode: 403, sendAgain: false, title: "The plan excludes the key." },
    "rate-exceeded": {
        outcome: "not-run",
        statusCode: 429,
        sendAgain: true,
        title: "The rate of the plan is used up.",
    },
    "concurrency-exceeded": { outcome: "not-run", statusCode: 429, sendAgain: true, title: "Too many in flight." },
    "queue-full": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The queue of the target is full." },
    "deadline-unreachable": {
        outcome: "not-run",
        statusCode: 503,
        sendAgain: true,
        title: "It can not finish in time.",
    },
    "host-overloaded": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The host runs late." },
    "no-owner": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "No target owns the key now." },
    "no-target": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "No target of the pool can serve." },
    "connections-used": {
        outcome: "not-run",
        statusCode: 503,
        sendAgain: true,
        title: "The host's connections are in use.",
    },
    "not-current": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The assignment is not confirmed." },
    "host-stopping": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The host is stopping." },
    "host-isolated": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The host is cut off." },
    "host-starting": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The host is not ready yet." },
    "target-shed": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The target shed the request." },
    "target-limited": {
        outcome: "not-run",
        statusCode: 503,
        sendAgain: true,
        title: "The target takes no more requests now.",
    },
    "target-paused": {
        outcome: "not-run",
        statusCode: 503,
        sendAgain: true,
        title: "The target wants no requests for a while.",
    },
    "target-refused": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The target did not run it." },
    "target-draining": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The target is draining." },
    "target-evacuated": {
        outcome: "not-run",
        statusCode: 503,
        sendAgain: true,
        title: "The target's zone is evacuated.",
    },
    "fence-refused": {
        outcome: "not-run",
        statusCode: 503,
        sendAgain: true,
        title: "The target refused the revision.",
    },
    "connect-failed": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "No connection to the target." },
    quarantined: { outcome: "not-run", statusCode: 503, sendAgain: false, title: "The request crashed targets." },
    "claims-full": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "The memory of claims is full." },
    "keepers-unavailable": { outcome: "not-run", statusCode: 503, sendAgain: true, title: "No claim keeper answered." },
    cancelled: { outcome: "not-run", statusCode: 499, sendAgain: true, title: "The caller hung up before it ran." },
    "claim-memory-lost": { outcome: "unknown", statusCode: 504, sendAgain: false, title: "Earlier claims are lost." },
    "duplicate-running": {
        outcome: "unknown",
        statusCode: 409,
        sendAgain: true,
        title: "The same request is running.",
    },
    "duplicate-answered": {
        outcome: "unknown",
        statusCode: 409,
        sendAgain: false,
        title: "It ran; its answer is gone.",
    },
    "duplicate-unknown": {
        outcome: "unknown",
        statusCode: 409,
        sendAgain: false,
        title: "An earlier send is unknown.",
    },
    "connection-lost": { outcome: "unknown", statusCode: 502, sendAgain: false, title: "The target hung up." },
    "answer-cut-short": { outcome: "unknown", statusCode: 502, sendAgain: false, title: "The answer broke off." },
    "answer-mismatched": { outcome: "unknown", statusCode: 502, sendAgain: false, title: "The answer was another's." },
    "answer-malformed": { outcome: "unknown", statusCode: 502, sendAgain: false, title: "The answer is not valid." },
    "caller-gone": { outcome: "unknown", statusCode: 499, sendAgain: false, title: "The caller hung up meanwhile." },
    "host-failed": { outcome: "unknown", statusCode: 502, sendAgain: false, title: "The host failed to serve it." },
    "timed-out": { outcome: "unknown", statusCode: 504, sendAgain: false, title: "No answer by the deadline." },
} as const satisfies Record<string, ReasonProperties>;

export type Reason = keyof typeof reasons;

/** Reasons for which an idempotent request is sent again. Each has its own counter. */
export const retryReasons = {
    connectFailed: "connect-failed",
    connectionLost: "connection-lost",
    targetShed: "target-shed",
    targetDraining: "target-draining",
    targetRefused: "target-refused",
    answerCutShort: "answer-cut-short",
    answerMalformed: "answer-malformed",
    answerMismatched: "answer-mismatched",
    ownerChanged: "owner-changed",
} as const;
export type RetryReason = (typeof retryReasons)[keyof typeof retryReasons];
