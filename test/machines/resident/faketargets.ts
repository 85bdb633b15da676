/**
 * Targets in memory that take grants and releases as the platform's do: fences by key, holds from the arrival of the
 * call on a clock that runs slow. Watches that no key has two owners.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import { maxKey } from "../../../src/contracts/ownership.ts";
import type { OwnershipCallResult, OwnershipLink } from "../../../src/contracts/resident.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";

/** `working`: releases are answered only when long work has ended. */
export type TargetFault = "none" | "silent" | "late" | "working";

export type FakeTarget = {
    name: string;
    incarnation: string;
    fault: TargetFault;
    /** A crashed target has no process: it refuses connections and holds nothing. */
    crash: () => void;
    restart: (incarnation: string) => void;
    holds: (key: number) => boolean;
};

export type FakeTargets = {
    get: (name: string) => FakeTarget;
    /** The link of one host; hosts that are cut off reach no target. */
    linkOf: (isCut: () => boolean) => OwnershipLink;
    /** Sampled keys that no target holds. */
    unheld: () => number[];
    /** Keys that two targets held at once or took under a fence that was not new, with the time. */
    violations: string[];
};

/** Keys that are looked at: a few of every range. */
const sampledKeys = [...new Array(64).keys()].map(index => index * (maxKey + 1) / 64);
const slowClock = 1.02;
const callMilliseconds = 2;
const timeoutMilliseconds = 500;
/** A late target carries a call out after this time, without an answer. */
const lateMilliseconds = 3_000;
/** Work on released keys that a working target ends before it answers. */
const workMilliseconds = 1_500;
const checkMilliseconds = 20;

type Held = { fence: number; until: number };

/** Creates targets that hold nothing. */
export const createFakeTargets = (names: string[], clock: Clock): FakeTargets => {
    const violations: string[] = [];
    const taken = new Map<number, { by: string; fence: number }>();

    /** A key changes hands only with a fence above all before. */
    const noteTaken = (key: number, by: string, fence: number): void => {
        const last = taken.get(key);
        if (last !== undefined && last.by !== by && fence <= last.fence) {
            violations.push(`key ${key} went to ${by} with ${fence}, ${last.by} had it with ${last.fence}`);
        }
        if (last === undefined || fence >= last.fence) {
            taken.set(key, { by, fence });
        }
    };

    const create = (name: string) => {
        const seen = new Map<number, number>();
        const held = new Map<number, Held>();
        let isUp = true;
        const target: FakeTarget = {
            name,
            incarnation: "1",
            fault: "none",
            crash: () => {
                isUp = false;
                seen.clear();
                held.clear();
            },
            restart: incarnation => {
                isUp = true;
                target.incarnation = incarnation;
            },
            holds: key => isUp && (held.get(key)?.until ?? 0) > clock.now(),
        };
        const keysOf = (from: number, to: number): number[] => sampledKeys.filter(key => key >= from && key <= to);
        const grant = (from: number, to: number, fence: number, until: number): OwnershipCallResult => {
            const keys = keysOf(from, to);
            if (keys.some(key => (seen.get(key) ?? 0) > fence)) {
                return { result: "higher-fence" };
            }
            keys.forEach(key => {
                seen.set(key, fence);
                held.set(key, { fence, until });
                noteTaken(key, `${name}/${target.incarnation}`, fence);
            });
            return { result: "done", handover: undefined };
        };
        const release = (from: number, to: number, fence: number): OwnershipCallResult => {
            keysOf(from, to).forEach(key => {
                seen.set(key, Math.max(fence, seen.get(key) ?? 0));
                held.delete(key);
            });
            return { result: "done", handover: `${name}-state` };
        };
        return { target, grant, release, isUp: () => isUp };
    };

    const targets = new Map(names.map(name => [name, create(name)]));

    const call = async (
        target: RegisteredTarget,
        isCut: boolean,
        run: () => OwnershipCallResult,
    ): Promise<OwnershipCallResult> => {
        const fake = targets.get(target.name);
        if (fake === undefined) {
            return { result: "unreachable" };
        }
        await clock.sleep(callMilliseconds);
        const { fault, incarnation } = fake.target;
        // As on the platform, a call names the target but not its start.
        if (isCut || fault === "silent") {
            await clock.sleep(timeoutMilliseconds);
            return { result: "unknown" };
        }
        if (!fake.isUp()) {
            return { result: "unreachable" };
        }
        if (fault === "late") {
            clock.after(lateMilliseconds, () => fake.target.incarnation === incarnation && run());
            await clock.sleep(timeoutMilliseconds);
            return { result: "unknown" };
        }
        return run();
    };

    const check = (): void => {
        for (const key of sampledKeys) {
            const holders = names.filter(name => targets.get(name)?.target.holds(key));
            if (holders.length > 1) {
                violations.push(`key ${key} at ${holders.join(" and ")} at ${clock.now()}`);
            }
        }
        clock.after(checkMilliseconds, check);
    };
    check();

    return {
        get: name => {
            const fake = targets.get(name);
            if (fake === undefined) {
                throw new Error(`There is no target "${name}".`);
            }
            return fake.target;
        },
        linkOf: isCut => ({
            grant: (target, { from, to, fence }, holdMilliseconds) => {
                const until = clock.now() + holdMilliseconds * slowClock;
                return call(target, isCut(), () => targets.get(target.name)!.grant(from, to, fence, until));
            },
            release: async (target, { from, to, fence }) => {
                const fake = targets.get(target.name);
                const answer = await call(target, isCut(), () => targets.get(target.name)!.release(from, to, fence));
                if (fake?.target.fault === "working") {
                    await clock.sleep(workMilliseconds);
                }
                return answer;
            },
            close: () => undefined,
        }),
        unheld: () => sampledKeys.filter(key => !names.some(name => targets.get(name)?.target.holds(key))),
        violations,
    };
};
