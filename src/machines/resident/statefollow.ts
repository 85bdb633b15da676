/**
 * Follows one reader: keeps a connection to it and takes its changes into this host's cache. A reader from which
 * nothing was heard for a while is given up, since it may be frozen or the connection silent, and so is one whose word
 * arrives late, as behind a thin link. What a reader tells of an ended era of the store is ignored.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore, StoreEvent } from "../../contracts/objectstore.ts";
import {
    type ChangesMessage,
    type FollowMessage,
    type LoadsMessage,
    readerFrameSchema,
    readerMessageSchema,
    type ReaderStatusMessage,
    statePath,
    type ValuePatch,
} from "../../contracts/statemessages.ts";
import { eraOf, isLater } from "../../contracts/storehistory.ts";
import { createLateness } from "../../decisions/lateness.ts";
import { inflateFrame } from "../../links/frames.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer } from "../../links/peers.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import { keepRunning } from "../longtasks.ts";
import type { StateCache } from "./statecache.ts";
import { statusMilliseconds } from "./stateserver.ts";

/**
 * State of a follow: `waiting` until the reader first said what it is, `refused` while it is not current, `closed` for
 * good.
 */
export type FollowState = "waiting" | "current" | "refused" | "closed";

export type StateFollow = {
    reader: ReaderCandidate;
    state: () => FollowState;
    /** Why the follow is closed; undefined before. */
    closeReason: () => string | undefined;
    /** Milliseconds since the store confirmed each kind to the reader, as far as the reader told. */
    ages: () => Record<string, number>;
    /** Sends loads to the reader; false while earlier bytes wait. */
    sendLoads: (message: LoadsMessage) => boolean;
    /** Asks the reader for all loads. */
    askForLoads: () => void;
    close: (reason: string) => void;
};

export type StateFollowOptions = {
    /** Name of this host. */
    self: string;
    reader: ReaderCandidate;
    store: Pick<ObjectStore, "era" | "learnEra">;
    cache: StateCache;
    kinds: readonly string[];
    patches: Readonly<Record<string, ValuePatch>>;
    dial: PeerDialer;
    /** Called after each change of the state. */
    onChange: () => void;
    /** Called with loads that the reader passed on. */
    onLoads: (message: LoadsMessage) => void;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

const maxSilenceMilliseconds = 3 * statusMilliseconds;

/** Reason of a close because what the reader sent arrived late. */
export const lateReason = "late";

/** Starts to follow the reader. Ends when it is closed, when the reader is silent or late, or when the signal aborts. */
export const createStateFollow = (options: StateFollowOptions): StateFollow => {
    const { store, cache, kinds, patches, clock, reader, log, metrics } = options;
    const lifetime = new AbortController();
    const signal = AbortSignal.any([options.signal, lifetime.signal]);
    let state: FollowState = "waiting";
    let closeReason: string | undefined;
    let lastHeardAt = clock.now();
    /** Era of which the reader was told. */
    let toldEra = 0;
    const isLate = createLateness();
    let told: { ages: Record<string, number>; at: number } | undefined;

    const setState = (next: FollowState): void => {
        if (state !== next && state !== "closed") {
            state = next;
            options.onChange();
        }
    };

    const close = (reason: string): void => {
        if (state !== "closed") {
            closeReason = reason;
            lifetime.abort();
            connection.close();
            setState("closed");
        }
    };

    /** Asks for the changes since what is held; the kinds given are asked for whole. */
    const sendFollow = (whole: readonly string[] = []): void => {
        const known = kinds.filter(kind => !whole.includes(kind) && cache.position(kind) !== undefined);
        const positions = Object.fromEntries(known.map(kind => [kind, cache.position(kind) ?? 0]));
        toldEra = store.era();
        const message: FollowMessage = {
            kind: "follow",
            host: options.self,
            positions,
            era: toldEra,
            inflates: true,
        };
        connection.send(message);
    };

    /** Returns the event of a patched object; undefined when the patch fits nothing that is held. */
    const eventOfPatch = (kind: string, patch: ChangesMessage["patches"][number]): StoreEvent | undefined => {
        const [name, revision, base, difference] = patch;
        const held = cache.get(kind, name);
        if (held !== undefined && !isLater(revision, held.revision)) {
            return { object: held, removed: false };
        }
        if (held?.revision !== base || !Object.hasOwn(patches, kind)) {
            return undefined;
        }
        const value = patches[kind].apply(held.value, difference);
        return value === undefined ? undefined : { object: { name, revision, value }, removed: false };
    };

    const applyChanges = ({ of: kind, since, position, objects, patches: patched, removed }: ChangesMessage): void => {
        store.learnEra(eraOf(position));
        if (isLater(store.era(), eraOf(position))) {
            metrics.count("state-ended-era", { kind });
            setState("refused");
            return;
        }
        const stored = objects.map(([name, revision, value]) => ({ name, revision, value }));
        if (since === undefined) {
            cache.applyList(kind, { objects: stored, position });
            return;
        }
        const patchEvents = patched.map(patch => eventOfPatch(kind, patch));
        const known = cache.position(kind);
        const hasGap = known === undefined || isLater(since, known) || eraOf(known) !== eraOf(position);
        if (hasGap || patchEvents.includes(undefined)) {
            metrics.count("state-resyncs", { kind });
            sendFollow([kind]);
            return;
        }
        cache.applyChanges(kind, {
            position,
            events: [
                ...stored.map(object => ({ object, removed: false })),
                ...patchEvents.filter(event => event !== undefined),
                ...removed.map(name => ({ object: { name, revision: position, value: undefined }, removed: true })),
            ],
        });
    };

    /** Takes in what the reader says of itself. */
    const applyStatus = ({ current, era }: ReaderStatusMessage): void => {
        store.learnEra(era ?? 0);
        if (era !== undefined && isLater(store.era(), era) && isLater(store.era(), toldEra)) {
            sendFollow();
        }
        const isSynced = kinds.every(kind => {
            const position = cache.position(kind);
            return position !== undefined && eraOf(position) === store.era();
        });
        setState(current && isSynced && (era ?? 0) === store.era() ? "current" : "refused");
    };

    const connection = options.dial(reader.address, statePath, {
        onOpen: () => sendFollow(),
        onFrame: value => {
            const frame = readerFrameSchema.safeParse(value).data;
            const parsed = readerMessageSchema.safeParse(
                frame?.kind === "deflated" ? inflateFrame(frame.frame) : frame,
            );
            if (!parsed.success) {
                return false;
            }
            lastHeardAt = clock.now();
            if (parsed.data.kind === "status" && parsed.data.ages !== undefined) {
                told = { ages: parsed.data.ages, at: lastHeardAt };
            }
            if (parsed.data.kind === "changes") {
                applyChanges(parsed.data);
            }
            else if (parsed.data.kind === "loads") {
                options.onLoads(parsed.data);
            }
            else if (parsed.data.sentAt !== undefined && isLate(parsed.data.sentAt, lastHeardAt)) {
                close(lateReason);
            }
            else {
                applyStatus(parsed.data);
            }
            return true;
        },
        onClose: () => close("connection-closed"),
    });

    const closeWhenSilent = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(statusMilliseconds / 2, signal);
            if (clock.now() - lastHeardAt > maxSilenceMilliseconds) {
                close("silent");
            }
        }
    };
    void keepRunning("reader-silence", closeWhenSilent, { clock, log, metrics, signal });

    return {
        reader,
        state: () => state,
        closeReason: () => closeReason,
        ages: () => {
            const sinceTold = clock.now() - (told?.at ?? 0);
            return Object.fromEntries(
                Object.entries(told?.ages ?? {}).map(([kind, age]) => [kind, Math.round(age + sinceTold)]),
            );
        },
        sendLoads: message => {
            const isFree = connection.isOpen() && connection.queuedBytes() === 0;
            if (isFree) {
                connection.send(message);
            }
            return isFree;
        },
        askForLoads: () => sendFollow(),
        close,
    };
};
