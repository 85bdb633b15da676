/**
 * What a coordinator concludes from its evidence.
 */
import type { Move } from "../../src/contracts/assignment.ts";
import type { MoveEvidence } from "../../src/decisions/move.ts";
import type { Host, Specification } from "./state.ts";

/** The coordinator's evidence of a move, as the rules take it; undefined before it knows of the write. */
export const evidenceOf = (host: Host, move: Move): MoveEvidence | undefined => {
    const { evidence } = host;
    const knownAt = evidence.knownAt[move.since];
    return knownAt === undefined ? undefined : {
        knownAt,
        acknowledgedAt: (name, revision) => evidence.acknowledged[name]?.[revision],
        targetAnswer: evidence.answers[move.from],
    };
};

/** When the move is released, as far as the host knows. */
export const releaseTimeOf = ({ size, rules }: Specification, host: Host, move: Move): number | undefined => {
    const { assignment, evidence } = host;
    const seen = evidenceOf(host, move);
    if (assignment === undefined || seen === undefined) {
        return undefined;
    }
    if (size.checksGrants) {
        return rules.releaseTime(move, assignment, seen, size.timing);
    }
    const { routers } = evidence;
    const finishedAt = (name: string, revision: number): number | undefined => evidence.finished[name]?.[revision];
    return routers === undefined
        ? undefined
        : rules.releaseTimeUnchecked(move, assignment, { ...seen, routers, finishedAt }, size.timing);
};
