/**
 * Checks references between plans, allowances and pools: names of objects that do not exist, and tokens that two plans
 * share. These are findings and not errors, since the other object may be written next.
 */
import type { Finding } from "../contracts/finding.ts";
import type { Allowance, Plan } from "../contracts/plan.ts";
import type { Pool } from "../contracts/pool.ts";

export type ReferencedObjects = {
    plans: ReadonlyMap<string, Plan>;
    allowances: ReadonlyMap<string, Allowance>;
    pools: ReadonlyMap<string, Pool>;
};

const allowanceFindings = (name: string, allowance: Allowance, objects: ReferencedObjects): Finding[] => {
    const source = `allowances/${name}`;
    const findings: Finding[] = [];
    if (!objects.plans.has(name)) {
        findings.push({ source, path: "(whole)", expected: "a plan of the same name", found: "none" });
    }
    for (const [index, use] of allowance.uses.entries()) {
        const pool = objects.pools.get(use.pool);
        if (pool === undefined) {
            const path = `uses[${index}].pool`;
            findings.push({ source, path, expected: "a pool that exists", found: `"${use.pool}"` });
            continue;
        }
        const known = new Set(pool.routes.map(route => route.name));
        for (const [position, route] of (use.routes ?? []).entries()) {
            if (!known.has(route)) {
                const path = `uses[${index}].routes[${position}]`;
                findings.push({ source, path, expected: `a route of pool "${use.pool}"`, found: `"${route}"` });
            }
        }
    }
    return findings;
};

/** Finds tokens that several plans accept, since the plan of a caller with such a token would be ambiguous. */
const sharedTokenFindings = (plans: ReadonlyMap<string, Plan>): Finding[] => {
    const holders = new Map<string, string>();
    const findings: Finding[] = [];
    for (const [name, plan] of plans) {
        for (const [index, hash] of plan.tokenHashes.entries()) {
            const holder = holders.get(hash);
            if (holder !== undefined && holder !== name) {
                const path = `tokenHashes[${index}]`;
                const found = `a token of plan "${holder}"`;
                findings.push({ source: `plans/${name}`, path, expected: "a token of one plan only", found });
            }
            holders.set(hash, name);
        }
    }
    return findings;
};

/** Finds every reference to an object or route that does not exist, and every token that several plans accept. */
export const referenceFindings = (objects: ReferencedObjects): Finding[] => [
    ...[...objects.allowances].flatMap(([name, allowance]) => allowanceFindings(name, allowance, objects)),
    ...sharedTokenFindings(objects.plans),
];
