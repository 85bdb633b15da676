/**
 * The rules that the specification uses: the functions of src/decisions themselves, and rules that the tasks of the
 * product follow, which the specification states again. A deliberate break replaces one of them.
 */
import * as grant from "../../src/decisions/grant.ts";
import * as majority from "../../src/decisions/majority.ts";
import * as move from "../../src/decisions/move.ts";
import * as currency from "../../src/decisions/revisiontracker.ts";
import * as witness from "../../src/decisions/witness.ts";

const taskRules = {
    /** The time from which a confirmation counts. */
    confirmedFrom: (sentAt: number, receivedAt: number): number => Math.min(sentAt, receivedAt),
    /** The time until which a target serves under a grant that it receives at `receivedAt`, by the target's clock. */
    grantedUntil: (validUntil: number, receivedAt: number): number => receivedAt < validUntil ? validUntil : 0,
    /** The time from which a coordinator counts its evidence. `tookOver`: another may have written the assignment. */
    evidenceFrom: (now: number, tookOver: boolean): number => tookOver ? now : now,
    /** Whether the platform accepts a conditional write. */
    acceptsWrite: (stored: number, expected: number): boolean => stored === expected,
    /** Whether a coordinator acts on its write before it knows that the write took effect. */
    adoptsUnconfirmedWrites: false,
    /** Whether a target stops its running work when its grant ends. */
    stopsAtLapse: true,
    /** Whether a coordinator observes that a target has restarted. */
    observesRestarts: false,
    /** Whether grants stay under way that can have no effect any more. */
    keepsIneffectiveGrants: false,
};

export const rules = { ...currency, ...majority, ...witness, ...move, ...grant, ...taskRules };

export type Rules = {
    [Name in keyof typeof rules]: (typeof rules)[Name] extends boolean ? boolean : (typeof rules)[Name];
};
