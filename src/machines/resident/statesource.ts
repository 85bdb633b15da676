/**
 * Where this host reads the store's state from: a reader of its zone, or the store itself. Readers read the store for
 * the others, so the number of calls hardly grows with the number of hosts, and a host that the store refuses still
 * learns of changes. A host that loses its reader goes to the next one, and to the store when it finds none in time.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore } from "../../contracts/objectstore.ts";
import type { LoadsMessage, ValuePatch } from "../../contracts/statemessages.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer } from "../../links/peers.ts";
import type { ReaderChoice } from "../../zones/readers.ts";
import { createCurrentSource } from "./currentsource.ts";
import { startReaderSearch } from "./readersearch.ts";
import type { StateCache } from "./statecache.ts";
import { createStateReading, type ReadPace } from "./statereading.ts";

export type StateSource = Pick<ObjectStore, "list" | "watch"> & {
    /** Whether this host reads the store itself and the store has confirmed each kind lately. */
    isCurrent: () => boolean;
    /** Milliseconds since the store confirmed each kind, to this host or to its reader. */
    ages: () => Record<string, number>;
    /** Name of the reader that this host follows; `store` while it reads the store; undefined while undecided. */
    name: () => string | undefined;
    /** Makes the host choose its source anew, since it learned of other hosts. */
    reconsider: () => void;
    /** Sends loads to the reader; false if this host follows none. */
    sendLoads: (message: LoadsMessage) => boolean;
};

export type StateSourceOptions = {
    /** Name of this host. */
    self: string;
    store: ObjectStore;
    cache: StateCache;
    /** The kinds that are read, with their pace. */
    paces: Readonly<Record<string, ReadPace>>;
    patches: Readonly<Record<string, ValuePatch>>;
    /** Resolves when this host knows the other hosts, or cannot learn of them. */
    hostsKnown: Promise<unknown>;
    /** Chooses whom this host may follow among the hosts known now. */
    choose: () => ReaderChoice;
    dial: PeerDialer;
    /** Called when this host became current as a reader or stopped being so, and when it reads from another source. */
    onChange: () => void;
    /** Called with the loads that the reader told. */
    onLoads: (message: LoadsMessage) => void;
    /** Called when this host reads from another source, before anything comes from it. */
    onSourceChange: () => void;
    clock: Clock;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Creates the source and starts the search for a reader. */
export const createStateSource = (options: StateSourceOptions): StateSource => {
    const { store, cache, paces, clock } = options;
    const kinds = Object.keys(paces);
    const current = createCurrentSource({
        ...options,
        onSourceChange: () => {
            options.onSourceChange();
            reading.wakeAll();
        },
        onStoreFailure: () => search.wake(),
    });
    const reading = createStateReading({ current, store, cache, paces, clock });
    const search = startReaderSearch({ ...options, current, kinds });

    return {
        list: reading.list,
        watch: reading.watch,
        isCurrent: current.isCurrent,
        ages: current.ages,
        name: current.name,
        reconsider: search.wake,
        sendLoads: message => {
            const source = current.get();
            return source.kind === "reader" && source.follow.sendLoads(message);
        },
    };
};
