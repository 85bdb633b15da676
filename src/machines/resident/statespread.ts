/**
 * The spread of the store's state and of the targets' loads among hosts, as this host takes part in it: what it reads, from
 * whom, and what it passes on.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore } from "../../contracts/objectstore.ts";
import type { PlatformObjects } from "../../contracts/resident.ts";
import { documentPatch } from "../../decisions/documentpatch.ts";
import { ownershipPatch } from "../../decisions/ownershipchanges.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer } from "../../links/peers.ts";
import { digestHash } from "../../zones/digesthash.ts";
import { chooseReaders, type ReaderCandidate, readersToTell } from "../../zones/readers.ts";
import { storeKinds } from "./coordination.ts";
import { keepLastResult } from "./lastresult.ts";
import type { Processes } from "./processes.ts";
import { createSharedLoads, type SharedLoads } from "./sharedloads.ts";
import { createStateCache } from "./statecache.ts";
import { createStatePaces, type FollowedEvacuations } from "./statepaces.ts";
import { createStateServer, type StateServer } from "./stateserver.ts";
import { createStateSource, type StateSource } from "./statesource.ts";
import { largeValueBytes } from "./valuelimits.ts";

export type StateSpread = { source: StateSource; server: StateServer; sharedLoads: SharedLoads };

export type StateSpreadOptions = {
    self: ReaderCandidate;
    store: ObjectStore;
    objects: Pick<PlatformObjects, "targetKind" | "tableKind">;
    /** Undefined where evacuations are not followed. */
    evacuations?: FollowedEvacuations | undefined;
    processes: Pick<Processes, "hosts" | "known">;
    isStopping: () => boolean;
    /** Called when this host reads from another source, or became current as a reader or stopped being so. */
    onSourceChange: () => void;
    dial: PeerDialer;
    clock: Clock;
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Starts to take part. */
export const createStateSpread = (options: StateSpreadOptions): StateSpread => {
    const { self, store, objects, processes, dial, clock, random, log, metrics, signal } = options;
    const readersFor = keepLastResult((hosts: readonly ReaderCandidate[]) => chooseReaders(digestHash, self, hosts));
    const otherReadersFor = keepLastResult((hosts: readonly ReaderCandidate[]) =>
        readersToTell(digestHash, self, hosts)
    );
    const cache = createStateCache(largeValueBytes);
    const paces = createStatePaces(objects, options.evacuations);
    const patches = { [storeKinds.ownership]: ownershipPatch, [objects.tableKind]: documentPatch };
    const source = createStateSource({
        self: self.name,
        store,
        cache,
        paces,
        patches,
        hostsKnown: processes.known,
        choose: () => readersFor(processes.hosts()),
        dial,
        onLoads: message => sharedLoads.receiveTotals(message),
        onSourceChange: () => sharedLoads.resetSource(),
        onChange: () => {
            server.announce();
            options.onSourceChange();
        },
        clock,
        random,
        log,
        metrics,
        signal,
    });
    const sharedLoads = createSharedLoads({
        isReader: source.isCurrent,
        otherReaders: () => otherReadersFor(processes.hosts()),
        dial,
        sendToReader: source.sendLoads,
        sendToFollowers: (changes, measures) => server.sendLoads(changes, measures),
        clock,
        log,
        metrics,
        signal,
    });
    const server = createStateServer({
        store,
        cache,
        kinds: Object.keys(paces),
        patches,
        isCurrent: () => !options.isStopping() && source.isCurrent(),
        ages: source.ages,
        onLoads: (follower, message) =>
            message === undefined
                ? sharedLoads.removeFollower(follower)
                : sharedLoads.receiveFollower(follower, message),
        wholeLoads: () => sharedLoads.wholeTotals(),
        clock,
        log,
        metrics,
        signal,
    });
    return { source, server, sharedLoads };
};
