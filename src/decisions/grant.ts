/**
 * Decides which slots and keys a renewer may grant a target, and how a target treats a grant and a request that carries
 * a fence.
 */
import type { Assignment, Move } from "../contracts/assignment.ts";
import { type Grant, type GrantAnswer, grantRefusals } from "../contracts/grant.ts";
import { type TargetRefusal, targetRefusals } from "../contracts/targetprotocol.ts";
import { ownerOfKey } from "./move.ts";

/** The slots and keys that a target may serve under a revision. */
export type Entitlement = Required<Pick<Grant, "slots" | "keys" | "exceptKeys">>;

/**
 * Returns the slots and keys that a renewer may grant the target under the assignment. Slots and keys that an
 * unreleased move takes from another target are left out. As moves are released, the entitlement at one revision only
 * grows: it gains slots and keys, and has fewer excepted keys.
 */
export const entitlementOf = (
    assignment: Assignment,
    target: string,
    isReleased: (move: Move) => boolean,
    slotOf: (key: string) => number,
): Entitlement => {
    const pending = assignment.moves.filter(move => move.from !== target && !isReleased(move));
    const pendingSlots = new Set(pending.flatMap(move => move.slots));
    const pendingKeys = new Set(pending.flatMap(move => move.keys));
    const index = assignment.targets.indexOf(target);
    const slots: number[] = [];
    assignment.owners.forEach((owner, slot) => {
        if (owner === index && index >= 0 && !pendingSlots.has(slot)) {
            slots.push(slot);
        }
    });
    const separateKeys = new Set([...assignment.hotKeys.map(hot => hot.key), ...pendingKeys]);
    const keys: string[] = [];
    const exceptKeys: string[] = [];
    for (const key of separateKeys) {
        const slot = slotOf(key);
        const isHot = assignment.hotKeys.some(hot => hot.key === key);
        const owns = ownerOfKey(assignment, key, slot) === target && !pendingKeys.has(key);
        if (owns && isHot) {
            keys.push(key);
        }
        if (!owns && assignment.owners[slot] === index) {
            exceptKeys.push(key);
        }
    }
    return { slots, keys, exceptKeys };
};

/**
 * Returns whether the target's grant must not be renewed, because a forced move away from the target is not released.
 */
export const isWithheld = (assignment: Assignment, target: string, isReleased: (move: Move) => boolean): boolean =>
    assignment.moves.some(move => move.from === target && move.forced === true && !isReleased(move));

/**
 * Returns the end of a grant in milliseconds on the target's own clock. The time to live counts from the last reading
 * of that clock that the renewer holds, never from the receipt of the grant. A target whose renewal is withheld still
 * receives the revision, with no time to serve.
 */
export const validUntilOf = (clockReading: number, timeToLiveMilliseconds: number, withheld: boolean): number =>
    withheld ? 0 : clockReading + timeToLiveMilliseconds;

/** The grant that an incarnation of a target holds in one pool. Times are milliseconds of the target's own clock. */
export type HeldGrant = {
    /** Highest revision accepted. It is the fence: lower revisions are refused. */
    readonly revision: number;
    readonly validUntil: number;
    readonly slots: ReadonlySet<number>;
    readonly keys: ReadonlySet<string>;
    readonly exceptKeys: ReadonlySet<string>;
};

export type GrantDecision = {
    /** The grant that the target holds after the decision. */
    held: HeldGrant | undefined;
    /** Why the grant was refused; undefined when it was accepted. */
    refusal: GrantAnswer["refusal"];
};

/**
 * Applies a grant to the grant that a target holds. A grant of the revision that is already held only adds slots and
 * keys: the renewers may know of different released moves, and every release that one of them knows of is valid.
 *
 * @example
 * const grant = { pool: "orders", revision: 2, incarnation: "i", validUntil: 400, slots: [7], keys: [], exceptKeys: [] };
 * const { held } = takeGrant(undefined, grant, "i");
 * requestRefusal(held, { revision: 2, slot: 7, key: "tray-7" }, 399); // undefined
 * requestRefusal(held, { revision: 2, slot: 7, key: "tray-7" }, 400); // "no-grant"
 * requestRefusal(held, { revision: 1, slot: 7, key: "tray-7" }, 399); // "fence"
 * takeGrant(held, { ...grant, revision: 1 }, "i").refusal; // "stale-revision"
 */
export const takeGrant = (held: HeldGrant | undefined, grant: Grant, incarnation: string): GrantDecision => {
    if (grant.incarnation !== incarnation) {
        return { held, refusal: grantRefusals.otherIncarnation };
    }
    if (held !== undefined && grant.revision < held.revision) {
        return { held, refusal: grantRefusals.staleRevision };
    }
    const { revision, validUntil } = grant;
    if (held !== undefined && held.revision === revision) {
        const exceptKeys = grant.slots === undefined
            ? held.exceptKeys
            : new Set([...held.exceptKeys].filter(key => grant.exceptKeys?.includes(key)));
        return {
            held: {
                revision,
                validUntil: Math.max(held.validUntil, validUntil),
                slots: new Set([...held.slots, ...grant.slots ?? []]),
                keys: new Set([...held.keys, ...grant.keys ?? []]),
                exceptKeys,
            },
            refusal: undefined,
        };
    }
    if (grant.slots === undefined) {
        return { held, refusal: grantRefusals.slotsNeeded };
    }
    return {
        held: {
            revision,
            validUntil,
            slots: new Set(grant.slots),
            keys: new Set(grant.keys),
            exceptKeys: new Set(grant.exceptKeys),
        },
        refusal: undefined,
    };
};

/** Returns whether the grant has not expired at the given reading of the target's clock and covers the key. */
export const ownsKey = (held: HeldGrant | undefined, slot: number, key: string, clock: number): boolean =>
    held !== undefined && clock < held.validUntil
    && (held.keys.has(key) || (held.slots.has(slot) && !held.exceptKeys.has(key)));

/**
 * Returns why a target refuses a request that carries the revision as its fence; undefined when the request may run.
 */
export const requestRefusal = (
    held: HeldGrant | undefined,
    request: { revision: number; slot: number; key: string },
    clock: number,
): TargetRefusal | undefined => {
    if (held !== undefined && request.revision < held.revision) {
        return targetRefusals.fence;
    }
    return ownsKey(held, request.slot, request.key, clock) ? undefined : targetRefusals.noGrant;
};

/** Lists the slots and keys that the grant does not cover and on which requests still run, for the target's answer. */
export const releasingOf = (
    held: HeldGrant | undefined,
    running: ReadonlyArray<{ slot: number; key: string }>,
): Pick<Required<GrantAnswer>, "releasing" | "releasingKeys"> => {
    const slots = new Set<number>();
    const keys = new Set<string>();
    for (const { slot, key } of running) {
        if (held?.slots.has(slot) !== true) {
            slots.add(slot);
        }
        if (!ownsKey(held, slot, key, -Infinity)) {
            keys.add(key);
        }
    }
    return { releasing: [...slots], releasingKeys: [...keys] };
};
