/**
 * The coordinator decides the assignments of those pools whose lease this host holds.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../contracts/clock.ts";
import { messageOf } from "../contracts/errors.ts";
import { type Candidate, firstAssignment } from "../decisions/assign.ts";
import type { Log } from "../links/logs.ts";
import type { PlatformLink } from "../links/platform.ts";
import type { ObjectView } from "./objects.ts";

export type CoordinatorOptions = {
    host: string;
    platform: PlatformLink;
    objects: ObjectView;
    /** Hosts that may be named as renewers, witnesses and keepers. */
    candidates: () => Candidate[];
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

const roundMilliseconds = 200;

/** Starts the coordinator until the signal aborts. */
export const createCoordinator = (options: CoordinatorOptions): void => {
    const { platform, objects, clock, log, signal } = options;

    const assignFirst = async (pool: string): Promise<void> => {
        const held = objects.get("pools", pool);
        const candidates = options.candidates();
        const first = [...candidates].sort((left, right) => (left.name < right.name ? -1 : 1))[0];
        if (held === undefined || first?.name !== options.host) {
            return;
        }
        const value = firstAssignment(held.value, candidates);
        const writeId = randomUUID();
        const result = await platform.put({ kind: "assignments", name: pool, value, ifVersion: 0, writeId }, signal);
        log.info("assignment-written", { pool, revision: value.revision, result: result.result });
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            for (const { name } of objects.list("pools")) {
                if (objects.get("assignments", name) === undefined) {
                    await assignFirst(name).catch((error: unknown) => {
                        log.warn("assignment-failed", { pool: name, error: messageOf(error) });
                    });
                }
            }
            await clock.sleep(roundMilliseconds, signal);
        }
    };

    void run();
};
