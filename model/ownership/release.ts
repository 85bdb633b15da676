/**
 * When a coordinator may release a move by its evidence.
 */
import type { Move } from "../../src/contracts/assignment.ts";
import type { MoveEvidence } from "../../src/decisions/move.ts";
import type { Host, Specification } from "./state.ts";

/** The coordinator's evidence of a move in the form that the rules take; undefined before it knows of the write. */
export const evidenceOf = (host: Host, move: Move): MoveEvidence | undefined => {
    const { evidence } = host;
    const knownAt = evidence.knownAt[move.since];
    return knownAt === undefined ? undefined : {
        knownAt,
        acknowledgedAt: (name, revision) => evidence.acknowledged[name]?.[revision],
        targetAnswer: evidence.answers[move.from],
    };
};

/** The time from which the move is released by the host's evidence; undefined when that does not suffice. */
export const releaseTimeOf = ({ size, rules }: Specification, host: Host, move: Move): number | undefined => {
    const { assignment, evidence } = host;
    const moveEvidence = evidenceOf(host, move);
    if (assignment === undefined || moveEvidence === undefined) {
        return undefined;
    }
    if (size.checksGrants) {
        return rules.releaseTime(move, assignment, moveEvidence, size.timing);
    }
    const { routers } = evidence;
    const finishedAt = (name: string, revision: number): number | undefined => evidence.finished[name]?.[revision];
    return routers === undefined
        ? undefined
        : rules.releaseTimeUnchecked(move, assignment, { ...moveEvidence, routers, finishedAt }, size.timing);
};
