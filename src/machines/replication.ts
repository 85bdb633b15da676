/**
 * Spreading objects between hosts: a relay pushes what it learns to the hosts that it serves, and every host answers
 * the questions of others.
 */
import type { Departure, ObjectsPush } from "../contracts/objectmessages.ts";
import { differenceOf } from "../decisions/difference.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Metrics } from "../links/metrics.ts";
import type { Replica, ReplicaUpdate } from "./replica.ts";

export type ReplicationOptions = {
    replica: Replica;
    links: HostLinks;
    metrics: Metrics;
    /** Hosts to which this one pushes; empty unless it is a relay. */
    servedHosts: () => string[];
    departures: () => Departure[];
    /** Called when a push could not be taken whole, so that the gap is asked for soon. */
    onGap: () => void;
    /** Bytes that one push may carry, as JSON; what does not fit is left to the questions of the others. */
    maxPushBytes: number;
};

/** Writes a push: differences where they are smaller, whole objects elsewhere. */
export const buildPush = (advance: ReplicaUpdate): ObjectsPush => {
    const push: ObjectsPush = {
        kind: "objects",
        after: advance.after,
        position: advance.position,
        whole: [],
        differences: [],
    };
    for (const { before, item } of advance.changes) {
        const difference = differenceOf(before, item);
        if (difference === undefined) {
            push.whole.push(item);
        }
        else {
            push.differences.push(difference);
        }
    }
    return push;
};

/** Starts to push, and to take and answer what other hosts send. */
export const startReplication = (options: ReplicationOptions): void => {
    const { replica, links, metrics } = options;

    replica.onUpdate(advance => {
        const hosts = options.servedHosts();
        if (hosts.length === 0) {
            return;
        }
        const push = buildPush(advance);
        if (JSON.stringify(push).length > options.maxPushBytes) {
            metrics.count("objects-push-too-large");
            return;
        }
        for (const host of hosts) {
            metrics.count(links.tell(host, push) ? "objects-pushed" : "objects-push-lost");
        }
    });

    links.handle("objects", (...[, push]) => {
        if (!replica.applyPush(push)) {
            metrics.count("objects-push-gap");
            options.onGap();
        }
        return undefined;
    });

    links.handle("objects-question", (...[, question]) => replica.answer(question.after, options.departures()));
};
