/**
 * The next assignment that a coordinator writes, by the rules that keep track of moves, renewers and witnesses.
 */
import type { Assignment } from "../../src/contracts/assignment.ts";
import type { Placement } from "../../src/decisions/move.ts";
import { type Change, type Host, hotKey, moveId, type Specification } from "./state.ts";

const slotOf = (): number => 0;

const otherTarget = (targets: string[], current: number): number => (current + 1) % targets.length;

const nextPlacement = (current: Assignment, change: Change): Placement => {
    const { targets, owners, hotKeys } = current;
    const movedOwners = [otherTarget(targets, owners[0])];
    if (change === "force" || change === "hand-over") {
        return { targets, owners: movedOwners, hotKeys };
    }
    if (change === "lift") {
        const lifted = { key: hotKey, target: targets[movedOwners[0]] };
        return { targets, owners, hotKeys: hotKeys.length === 0 ? [lifted] : [] };
    }
    return { targets, owners, hotKeys };
};

/** The assignment that follows the host's own by the change; undefined when the change may not be made now. */
export const nextAssignment = (
    { size, rules }: Specification,
    host: Host,
    change: Change,
): Assignment | undefined => {
    const current = host.assignment;
    if (current === undefined || (change === "witnesses" && !rules.mayChangeWitnesses(current.formerWitnesses))) {
        return undefined;
    }
    const revision = current.revision + 1;
    const hasAcknowledged = (name: string): boolean =>
        host.evidence.acknowledged[name]?.[current.revision] !== undefined;
    const placement = nextPlacement(current, change);
    const isForced = change === "force";
    const renewers = change !== "renewers"
        ? current.renewers
        : current.renewers === size.renewers
        ? size.otherRenewers
        : size.renewers;
    const formerRenewers = rules.formerRenewersAfter(current, renewers, hasAcknowledged);
    const hasOtherWitnesses = current.witnesses === size.otherWitnesses;
    const witnesses = change !== "witnesses"
        ? current.witnesses
        : hasOtherWitnesses
        ? size.witnesses
        : size.otherWitnesses;
    const formerWitnesses = change === "witnesses"
        ? current.witnesses
        : rules.formerWitnessesAfter(current.formerWitnesses, hasAcknowledged);
    const moves = rules.movesAfter(current, placement, {
        revision,
        slotOf,
        isReleased: move => host.released.includes(moveId(move)),
        lost: new Set(isForced ? [current.targets[current.owners[0]]] : []),
    });
    if (change === "tidy" && moves.length === current.moves.length && formerWitnesses === current.formerWitnesses) {
        return undefined;
    }
    return {
        ...current,
        ...placement,
        revision,
        moves,
        renewers,
        ...(Object.keys(formerRenewers).length === 0 ? { formerRenewers: undefined } : { formerRenewers }),
        witnesses,
        formerWitnesses,
    };
};
