/**
 * The faults of a stand-in target.
 */
import { z } from "zod";
import { targetStates } from "../src/contracts/targetprotocol.ts";

const milliseconds = z.number().min(0);
const count = z.int().min(0);

export const targetFaultsSchema = z.strictObject({
    /** Keeps connections open but serves and answers nothing. What arrived meanwhile is served after the thaw. */
    frozen: z.boolean(),
    /** Closes all connections, drops all state and stops listening. Clearing it starts a new incarnation. */
    crashed: z.boolean(),
    /** Refuses every request as draining. */
    draining: z.boolean(),
    /** Refuses every request as shed. */
    shedding: z.boolean(),
    /** Factor on the service time of requests. */
    slowFactor: z.number().positive(),
    /** Time after a start during which the service time is multiplied by `coldFactor`. */
    coldMilliseconds: milliseconds,
    coldFactor: z.number().min(1),
    /** Age of the state and load that the health and load endpoints report. */
    lagMilliseconds: milliseconds,
    /** State that the health endpoint reports; the real one when empty. */
    healthSays: z.enum(["", ...Object.values(targetStates)]),
    /** Factor on the reported load. */
    loadFactor: z.number().min(0),
    /** Delay of each answer, which represents the network between zones. */
    networkMilliseconds: milliseconds,
    /** Number of following answers whose connection is closed in the middle of the body. */
    cutShort: count,
    /** Number of following answers that are sent twice on the same connection. */
    doubled: count,
    /** Number of following answers that carry the id of another request. */
    mismatched: count,
    /** Number of following answers that are shorter than their content length, on a connection that stays open. */
    wrongLength: count,
    /** Source addresses that are cut off: requests and answers are held back until the address is removed. */
    cutFrom: z.array(z.string()),
    /** Key whose requests crash the target when they start; none when empty. */
    poisonKey: z.string(),
});

export type TargetFaults = z.infer<typeof targetFaultsSchema>;

/** A target without faults. */
export const noTargetFaults: TargetFaults = {
    frozen: false,
    crashed: false,
    draining: false,
    shedding: false,
    slowFactor: 1,
    coldMilliseconds: 0,
    coldFactor: 3,
    lagMilliseconds: 0,
    healthSays: "",
    loadFactor: 1,
    networkMilliseconds: 0,
    cutShort: 0,
    doubled: 0,
    mismatched: 0,
    wrongLength: 0,
    cutFrom: [],
    poisonKey: "",
};
