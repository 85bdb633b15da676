/**
 * The rules that the specification uses: the functions of src/decisions as they are, and the habits of the tasks that
 * the specification states itself. A deliberate break replaces one of them.
 */
import * as grant from "../../src/decisions/grant.ts";
import * as majority from "../../src/decisions/majority.ts";
import * as move from "../../src/decisions/move.ts";
import * as currency from "../../src/decisions/revisiontracker.ts";
import * as witness from "../../src/decisions/witness.ts";

const habits = {
    /** From when a confirmation counts. */
    confirmedFrom: (sentAt: number, receivedAt: number): number => Math.min(sentAt, receivedAt),
    /** Until when a target serves by a grant that it receives at a time of its clock. */
    grantedUntil: (validUntil: number, receivedAt: number): number => receivedAt < validUntil ? validUntil : 0,
    /** From when a coordinator counts its evidence; `tookOver` when another may have written the assignment. */
    evidenceFrom: (now: number, tookOver: boolean): number => tookOver ? now : now,
    /** Whether the platform takes a conditional write. */
    acceptsWrite: (stored: number, expected: number): boolean => stored === expected,
    /** Whether a coordinator acts on its write before it knows that it took effect. */
    adoptsUnconfirmedWrites: false,
    /** Whether a target stops its running work when its grant ends. */
    stopsAtLapse: true,
    /** Whether a coordinator observes that a target has restarted. */
    observesRestarts: false,
    /** Whether grants stay under way that the target would refuse for good. */
    keepsIneffectiveGrants: false,
};

export const rules = { ...currency, ...majority, ...witness, ...move, ...grant, ...habits };

export type Rules = {
    [Name in keyof typeof rules]: (typeof rules)[Name] extends boolean ? boolean : (typeof rules)[Name];
};
