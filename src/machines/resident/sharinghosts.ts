/**
 * The hosts that share the targets' connections, and the place of this host among them.
 */
import type { Clock } from "../../contracts/clock.ts";
import { lentMilliseconds } from "../../decisions/partlending.ts";
import type { SharingHosts } from "../../decisions/targetroom.ts";
import { digestHash } from "../../zones/digesthash.ts";
import type { Processes } from "./processes.ts";

export type SharingHostsOptions = {
    /** Name of this host. */
    self: string;
    processes: Pick<Processes, "hostNames" | "hostCount" | "wasRegistered" | "registeredAt">;
    /** Returns the monotonic time since which the hosts' registrations are read without a failure. */
    reachableSince: () => number | undefined;
    clock: Pick<Clock, "now">;
};

/**
 * Hosts that register at the same time know each other after this time: the longest wait of a watch, a pause after its
 * answer, and the way from the reader.
 */
const settleMilliseconds = 4_000;
const hashRange = 2 ** 32;

/** Returns the names in the order on which all hosts agree. */
export const orderHosts = (names: readonly string[]): string[] =>
    names
        .map(name => ({ name, rank: digestHash(name, hashRange) }))
        .sort((left, right) => left.rank - right.rank || (left.name < right.name ? -1 : 1))
        .map(({ name }) => name);

/** Returns a function that returns the hosts known now, or undefined before any is known. */
export const createSharingHosts = (
    { self, processes, reachableSince, clock }: SharingHostsOptions,
): () => SharingHosts | undefined => {
    let names: readonly string[] = [];
    let place = 0;
    let isSettled = false;
    const startedAt = clock.now();

    /** A host that was there before is counted by all others. */
    const settles = (): boolean => {
        const registeredAt = processes.registeredAt();
        const reachedAt = reachableSince();
        return processes.wasRegistered() === true
            || (registeredAt !== undefined && reachedAt !== undefined
                && clock.now() - Math.max(registeredAt, reachedAt) >= settleMilliseconds);
    };

    return () => {
        if (processes.hostCount() === undefined) {
            return undefined;
        }
        isSettled ||= settles();
        const known = processes.hostNames();
        if (known !== names) {
            names = known;
            place = orderHosts(known).indexOf(self);
        }
        const mayHaveLent = names.length > 1 && processes.wasRegistered() === true
            && clock.now() - startedAt < lentMilliseconds;
        return { count: names.length, place, isSettled, mayHaveLent };
    };
};
