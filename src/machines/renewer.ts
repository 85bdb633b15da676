/**
 * The renewer extends the grants of the targets for which the assignment names this host, while the host is current.
 */
import { type Assignment, noOwner } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import type { Target } from "../contracts/pool.ts";
import type { Currency } from "../decisions/currency.ts";
import type { Log } from "../links/logs.ts";
import type { ObjectView } from "./objects.ts";
import { noteReading, type TargetView, type TargetViews } from "./target.ts";

export type RenewerOptions = {
    host: string;
    objects: ObjectView;
    views: TargetViews;
    currency: Currency;
    renewalMilliseconds: number;
    timeToLiveMilliseconds: number;
    clock: Clock;
    log: Log;
    signal: AbortSignal;
};

const slotsOwnedBy = (assignment: Assignment, target: string): number[] => {
    const index = assignment.targets.indexOf(target);
    const slots: number[] = [];
    assignment.owners.forEach((owner, slot) => {
        if (owner !== noOwner && owner === index) {
            slots.push(slot);
        }
    });
    return slots;
};

/** Starts the renewer until the signal aborts. */
export const createRenewer = (options: RenewerOptions): void => {
    const { objects, views, currency, clock, log, signal } = options;

    const learnReading = async (view: TargetView): Promise<void> => {
        const health = await view.link.health(options.timeToLiveMilliseconds);
        if (health !== undefined) {
            noteReading(view, health.incarnation, health.clock);
        }
    };

    const renew = async (pool: string, target: Target, assignment: Assignment): Promise<void> => {
        const view = views.of(pool, target);
        if (view.incarnation === undefined) {
            await learnReading(view);
        }
        if (view.incarnation === undefined || !currency.isCurrent(pool, assignment.revision, clock.now())) {
            return;
        }
        const full = view.grantedRevision !== assignment.revision;
        const answer = await view.link.grant({
            pool,
            revision: assignment.revision,
            incarnation: view.incarnation,
            validUntil: view.clockReading + options.timeToLiveMilliseconds,
            ...(full ? { slots: slotsOwnedBy(assignment, target.name), keys: [], exceptKeys: [] } : {}),
        }, options.timeToLiveMilliseconds);
        if (answer === undefined) {
            return;
        }
        noteReading(view, answer.incarnation, answer.clock);
        view.grantedRevision = answer.accepted ? assignment.revision : 0;
        if (!answer.accepted) {
            log.debug("grant-refused", { pool, target: target.name, reason: answer.refusal });
        }
    };

    const renewAll = (): void => {
        for (const { name, value: assignment } of objects.list("assignments")) {
            const pool = objects.get("pools", name)?.value;
            for (const target of pool?.division === "by-key" && pool.checksGrants ? pool.targets : []) {
                if (assignment.renewers[target.name]?.includes(options.host)) {
                    void renew(name, target, assignment);
                }
            }
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            renewAll();
            await clock.sleep(options.renewalMilliseconds, signal);
        }
    };

    void run();
};
