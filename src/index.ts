/**
 * The public API of the library: the parts of the coordination that other programs may embed. Each is a pure function
 * or a small object that takes the time as an argument; sockets, timers and processes are left to the embedder.
 */
export { type Assignment, type Move, noOwner } from "./contracts/assignment.ts";
export { type Grant, type GrantAnswer, grantRefusals } from "./contracts/grant.ts";
export { type Outcome, outcomes, type Reason, reasons } from "./contracts/outcome.ts";
export type { Pool, Target } from "./contracts/pool.ts";
export {
    type AdmissionQueue,
    createAdmissionQueue,
    priorities,
    type Priority,
    type QueuedRequest,
    type Verdict,
} from "./decisions/admission.ts";
export { type Candidate, countMoved, firstAssignment, nextAssignment } from "./decisions/assign.ts";
export { type ClaimMemory, type ClaimMemoryOptions, createClaimMemory, keeperOrigins } from "./decisions/claim.ts";
export {
    type ConcurrencyLimit,
    type ConcurrencyLimitOptions,
    type ConcurrencyLimitShare,
    createConcurrencyLimit,
} from "./decisions/concurrencylimit.ts";
export { entitlementOf, type HeldGrant, requestRefusal, takeGrant, validUntilOf } from "./decisions/grant.ts";
export { createSlotHash, type SlotHash } from "./decisions/hash.ts";
export { createKeySketch, type KeySketch } from "./decisions/hotkeys.ts";
export { createLoadShedder, type LoadShedder, type LoadShedderOptions } from "./decisions/loadshedding.ts";
export { createLogRateLimit, type LogRateLimit } from "./decisions/lograte.ts";
export {
    type MoveEvidence,
    movesAfter,
    type MoveTiming,
    releaseTime,
    releaseTimeUnchecked,
    type TargetEvidence,
} from "./decisions/move.ts";
export { expectedRequestsAtTarget } from "./decisions/queueing.ts";
export { createRetryBudget, type RetryBudget } from "./decisions/retry.ts";
export {
    createRevisionTracker,
    mayRenew,
    mayRouteUnchecked,
    type RevisionTracker,
} from "./decisions/revisiontracker.ts";
export { choosePool, createRouteIndex, type RouteIndex } from "./decisions/routetable.ts";
