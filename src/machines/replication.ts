/**
 * Replication of objects between hosts. A relay pushes what it learns to the hosts that it serves, and every host
 * answers questions for the objects that it holds.
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
    /** Called when a push could not be applied completely. The caller asks for the missing objects. */
    onGap: () => void;
    /**
     * Maximum size of a push as JSON, in bytes. A larger push is not sent; the served hosts learn of it when they ask.
     */
    maxPushBytes: number;
};

/** Builds the push of an update: a difference where it is smaller, the whole object elsewhere. */
export const buildPush = (update: ReplicaUpdate): ObjectsPush => {
    const push: ObjectsPush = {
        kind: "objects",
        after: update.after,
        position: update.position,
        whole: [],
        differences: [],
    };
    for (const { before, item } of update.changes) {
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

/** Starts to push updates, and handles the pushes and questions of other hosts. */
export const startReplication = (options: ReplicationOptions): void => {
    const { replica, links, metrics } = options;

    replica.onUpdate(update => {
        const hosts = options.servedHosts();
        if (hosts.length === 0) {
            return;
        }
        const push = buildPush(update);
        if (Buffer.byteLength(JSON.stringify(push)) > options.maxPushBytes) {
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
