/**
 * Faults of a stand-in target.
 */
import { z } from "zod";
import { targetStates } from "../src/contracts/targetprotocol.ts";

const milliseconds = z.number().min(0);
const count = z.int().min(0);

export const targetFaultsSchema = z.strictObject({
    /** Keeps its connections open and neither reads on nor answers; all of that happens when it thaws. */
    frozen: z.boolean(),
    /** Drops all connections and state, and listens no more; returns as a new incarnation. */
    crashed: z.boolean(),
    draining: z.boolean(),
    shedding: z.boolean(),
    /** Factor on the time that a request takes. */
    slowFactor: z.number().positive(),
    /** Time after a start during which requests take `coldFactor` times as long. */
    coldMilliseconds: milliseconds,
    coldFactor: z.number().min(1),
    /** Age of what the health and load endpoints say. */
    lagMilliseconds: milliseconds,
    /** What the health endpoint says whatever the state is; the state itself when left empty. */
    healthSays: z.enum(["", ...Object.values(targetStates)]),
    /** Factor on the load that is reported. */
    loadFactor: z.number().min(0),
    /** Delay added to each answer, for the way between zones. */
    networkMilliseconds: milliseconds,
    /** Coming answers whose body breaks off in the middle. */
    cutShort: count,
    /** Coming answers that are sent twice on the same connection. */
    doubled: count,
    /** Coming answers that carry the id of another request. */
    mismatched: count,
    /** Coming answers that are shorter than their length says, on a connection that stays open. */
    wrongLength: count,
    /** Source addresses from which nothing arrives and to which nothing is sent until they are left out again. */
    cutFrom: z.array(z.string()),
    /** Crashes on each request whose key has this value; none when empty. */
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
