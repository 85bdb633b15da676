/**
 * In-memory targets that handle grants and releases as the platform's do: each key has its own fence, and a hold starts
 * when the call arrives, on a clock that runs slow. Checks that no key has two owners.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import { maxKey } from "../../../src/contracts/ownership.ts";
import type { OwnershipCallResult, OwnershipLink } from "../../../src/contracts/resident.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";

/** `late`: calls are carried out late, without an answer. `working`: releases are answered only after long work. */
export type TargetFault = "none" | "silent" | "late" | "working";

export type FakeTarget = {
    name: string;
    incarnation: string;
    /** Changes when the process ends. */
    session: number;
    fault: TargetFault;
    /** Ends the target's process: it refuses connections and holds no keys. */
    crash: () => void;
    restart: (incarnation: string) => void;
    holds: (key: number) => boolean;
};

export type FakeTargets = {
    get: (name: string) => FakeTarget;
    /** Returns the link of one host, which does not reach the targets from which the host is cut off. */
    linkOf: (isCut: (target: string) => boolean) => OwnershipLink;
    sampledKeys: number[];
    /** States that former owners handed over and that a grant carried to the new owner, as `STATE to TARGET`. */
    handovers: Set<string>;
    /** Returns the sampled keys that no target holds. */
    unheld: () => number[];
    /**
     * Descriptions of keys that two targets held at once, with the time, or that changed owner without a new
     * fence.
     */
    violations: string[];
};

/** Keys that are checked: a few of every range. */
const sampledKeys = [...new Array(64).keys()].map(index => index * (maxKey + 1) / 64);
const clockSlowdown = 1.02;
const callMilliseconds = 2;
const timeoutMilliseconds = 500;
/** A late target carries out a call after this time, without an answer. */
const lateMilliseconds = 3_000;
/** Duration of the work on released keys that a working target completes before it answers. */
const workMilliseconds = 1_500;
const checkMilliseconds = 20;

type Hold = { fence: number; until: number };

/** Creates targets that hold nothing. */
export const createFakeTargets = (names: string[], clock: Clock): FakeTargets => {
    const violations: string[] = [];
    const handovers = new Set<string>();
    const lastOwners = new Map<number, { by: string; fence: number }>();

    /** Records a violation when a key gets another owner without a fence above all earlier ones. */
    const recordOwner = (key: number, by: string, fence: number): void => {
        const last = lastOwners.get(key);
        if (last !== undefined && last.by !== by && fence <= last.fence) {
            violations.push(`key ${key} went to ${by} with ${fence}, ${last.by} had it with ${last.fence}`);
        }
        if (last === undefined || fence >= last.fence) {
            lastOwners.set(key, { by, fence });
        }
    };

    const create = (name: string) => {
        const fences = new Map<number, number>();
        const activeHolds = new Map<number, Hold>();
        let isUp = true;
        const target: FakeTarget = {
            name,
            incarnation: "1",
            session: 0,
            fault: "none",
            crash: () => {
                isUp = false;
                target.session += 1;
                fences.clear();
                activeHolds.clear();
            },
            restart: incarnation => {
                isUp = true;
                target.incarnation = incarnation;
            },
            holds: key => isUp && (activeHolds.get(key)?.until ?? 0) > clock.now(),
        };
        const sampledKeysBetween = (from: number, to: number): number[] =>
            sampledKeys.filter(key => key >= from && key <= to);
        const grant = (from: number, to: number, fence: number, until: number): OwnershipCallResult => {
            const keys = sampledKeysBetween(from, to);
            if (keys.some(key => (fences.get(key) ?? 0) > fence)) {
                return { result: "higher-fence" };
            }
            keys.forEach(key => {
                fences.set(key, fence);
                activeHolds.set(key, { fence, until });
                recordOwner(key, `${name}/${target.incarnation}`, fence);
            });
            return { result: "done", handover: undefined };
        };
        const release = (from: number, to: number, fence: number): OwnershipCallResult => {
            sampledKeysBetween(from, to).forEach(key => {
                fences.set(key, Math.max(fence, fences.get(key) ?? 0));
                activeHolds.delete(key);
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
        // As on the platform, a call names the target but not its incarnation.
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
        sampledKeys,
        handovers,
        get: name => {
            const fake = targets.get(name);
            if (fake === undefined) {
                throw new Error(`There is no target "${name}".`);
            }
            return fake.target;
        },
        linkOf: isCut => ({
            grant: (target, { from, to, fence }, holdMilliseconds, handover) => {
                if (handover !== undefined) {
                    handovers.add(`${handover} to ${target.name}`);
                }
                const until = clock.now() + holdMilliseconds * clockSlowdown;
                return call(target, isCut(target.name), () => targets.get(target.name)!.grant(from, to, fence, until));
            },
            release: async (target, { from, to, fence }) => {
                const fake = targets.get(target.name);
                const answer = await call(
                    target,
                    isCut(target.name),
                    () => targets.get(target.name)!.release(from, to, fence),
                );
                if (fake?.target.fault === "working") {
                    await clock.sleep(workMilliseconds);
                }
                return answer;
            },
            session: target => targets.get(target.name)?.target.session ?? 0,
            close: () => undefined,
        }),
        unheld: () => sampledKeys.filter(key => !names.some(name => targets.get(name)?.target.holds(key))),
        violations,
    };
};
