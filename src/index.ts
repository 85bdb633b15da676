/**
 * The public face of the library: the coordination parts that others may embed. Each is a pure function or a small
 * object with the time passed in; sockets, timers and processes stay with whoever embeds it.
 */
export { type Assignment, type Move, noOwner } from "./contracts/assignment.ts";
export { type Grant, type GrantAnswer, grantRefusals } from "./contracts/grant.ts";
export { type Outcome, outcomes, type Reason, reasons } from "./contracts/outcome.ts";
export type { Pool, Target } from "./contracts/pool.ts";
export { createLane, type Entrant, type Lane, priorities, type Priority, type Verdict } from "./decisions/admit.ts";
export { type Candidate, countMoved, firstAssignment, nextAssignment } from "./decisions/assign.ts";
export { type ClaimMemory, type ClaimMemoryOptions, createClaimMemory, keeperOrigins } from "./decisions/claim.ts";
export { entitlementOf, type HeldGrant, requestRefusal, takeGrant, validUntilOf } from "./decisions/grant.ts";
export { createSlotHash, type SlotHash } from "./decisions/hash.ts";
export { createKeySketch, type KeySketch } from "./decisions/hotkeys.ts";
export { createLimit, type Limit, type LimitOptions, type LimitShare } from "./decisions/limit.ts";
export { createLineLimit, type LineLimit } from "./decisions/linelimit.ts";
export {
    type MoveEvidence,
    movesAfter,
    type MoveTiming,
    releaseTime,
    releaseTimeUnchecked,
    type TargetEvidence,
} from "./decisions/move.ts";
export { createPressure, type Pressure, type PressureOptions } from "./decisions/pressure.ts";
export { requestsAtTarget } from "./decisions/queueing.ts";
export { createRetryBudget, type RetryBudget } from "./decisions/retry.ts";
export {
    createRevisionTracker,
    mayRenew,
    mayRouteUnchecked,
    type RevisionTracker,
} from "./decisions/revisiontracker.ts";
export { createRouteIndex, drawPool, type RouteIndex } from "./decisions/routetable.ts";
