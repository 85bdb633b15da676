/**
 * Serves the store's state to the hosts that follow this one. Changes are sent as they become known; a slow follower
 * gets fewer and larger messages, since changes that wait are sent together.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import {
    type ChangesMessage,
    type DeflatedMessage,
    followerMessageSchema,
    type LoadsMessage,
    type MeasureTuple,
    type ReaderStatusMessage,
    type ValuePatch,
} from "../../contracts/statemessages.ts";
import { isLater } from "../../contracts/storehistory.ts";
import { addMeasure, type TargetMeasure } from "../../decisions/targetmeasures.ts";
import { deflateFrame, encodeFrame } from "../../links/frames.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerService } from "../../links/peers.ts";
import { forEachAlone, keepRunning } from "../longtasks.ts";
import { measureOf, measuresField, measureTuples } from "./sharedmeasures.ts";
import type { StateCache } from "./statecache.ts";

export type StateServerOptions = {
    store: Pick<ObjectStore, "era" | "learnEra">;
    cache: StateCache;
    /** The kinds that followers get. */
    kinds: readonly string[];
    /** Kinds whose changed objects are sent as differences. */
    patches: Readonly<Record<string, ValuePatch>>;
    /** Whether this host reads the store itself and the store has confirmed its state lately. */
    isCurrent: () => boolean;
    /** Milliseconds since the store confirmed each kind; a kind of which that is not known is absent. */
    ages: () => Record<string, number>;
    /** Called with the loads of a follower; undefined when it has left. */
    onLoads: (follower: string, message: LoadsMessage | undefined) => void;
    /** Returns the loads for a follower that has just joined. */
    wholeLoads: () => LoadsMessage;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

export type StateServer = {
    /** Accepts followers. */
    service: PeerService;
    /** Tells all followers now whether this host is current. */
    announce: () => void;
    /**
     * Sends changes of loads and measures to all followers, except those for which bytes wait. What these miss is sent with
     * a later call, also one without changes.
     */
    sendLoads: (changes: LoadsMessage["loads"], measures?: MeasureTuple[]) => void;
};

type Follower = {
    /** Unique, also when a host follows again. */
    id: string;
    connection: PeerConnection;
    host: string;
    /** Whether it takes compressed messages. */
    inflates: boolean;
    /** Position up to which each kind was sent. */
    positions: Map<string, number>;
    /** Monotonic time since which it gets no changes, as too many bytes wait; undefined while it gets them. */
    behindSince: number | undefined;
    /** Whether it tells places in the store's history from revisions; a host of an earlier version does not. */
    knowsEras: boolean;
    /** Monotonic time since which bytes have waited to be sent; undefined while none wait. */
    queuedSince: number | undefined;
    /** Changes of loads that were not sent to it, by target. */
    missedLoads: Map<string, number>;
    /** Measures that were not sent to it, by the target's number. */
    missedMeasures: Map<number, TargetMeasure>;
};

/** A follower ignores a reader from which it heard nothing for about three times this. */
export const statusMilliseconds = 400;
/** Larger frames are compressed: a reader sends each to all its followers, and its link may be thin. */
const minDeflatedBytes = 1_024;
/** Frames of a kind that are kept, for followers that hold different positions. */
const maxKeptFrames = 8;
/** While more bytes wait to be sent to a follower, it gets no more changes. */
const maxQueuedBytes = 262_144;
/** A follower to which bytes wait for this long is dropped: its connection may be silent for good. */
const maxQueuedMilliseconds = 4_000;

/** Encodes the message, compressed if it is large and the follower takes it so. */
const encodeMessage = (message: ChangesMessage | LoadsMessage, inflates: boolean): Buffer => {
    const frame = encodeFrame(message);
    if (!inflates || frame.length < minDeflatedBytes) {
        return frame;
    }
    const deflated: DeflatedMessage = { kind: "deflated", frame: deflateFrame(frame) };
    return encodeFrame(deflated);
};

const encodeLoads = (changes: LoadsMessage["loads"], measures: MeasureTuple[], inflates: boolean): Buffer =>
    encodeMessage({ kind: "loads", whole: false, loads: changes, ...measuresField(measures) }, inflates);

/** Creates the server. */
export const createStateServer = (options: StateServerOptions): StateServer => {
    const { store, cache, kinds, patches, clock, log, metrics, signal } = options;
    const followers = new Set<Follower>();
    let lastId = 0;
    /** Frames up to the newest position of each kind, by what the follower holds: many followers get the same. */
    const frames = new Map<string, { position: number | undefined; kept: Map<string, Buffer> }>();

    const patchOf = (
        kind: string,
        object: StoreObject,
        since: number,
    ): ChangesMessage["patches"][number] | undefined => {
        const before = cache.previous(kind, object.name);
        if (before === undefined || isLater(before.revision, since) || !Object.hasOwn(patches, kind)) {
            return undefined;
        }
        const patch = patches[kind].between(before.value, object.value);
        return patch === undefined ? undefined : [object.name, object.revision, before.revision, patch];
    };

    const createChanges = (kind: string, since: number | undefined): ChangesMessage | undefined => {
        const changes = since === undefined ? undefined : cache.changesAfter(kind, since);
        if (since === undefined || changes?.result !== "changes") {
            const list = cache.list(kind);
            return list && {
                kind: "changes",
                of: kind,
                position: list.position,
                objects: list.objects.map(({ name, revision, value }) => [name, revision, value]),
                patches: [],
                removed: [],
            };
        }
        const message: ChangesMessage = {
            kind: "changes",
            of: kind,
            since,
            position: changes.position,
            objects: [],
            patches: [],
            removed: [],
        };
        for (const { object, removed } of changes.events) {
            const patch = removed ? undefined : patchOf(kind, object, since);
            if (removed) {
                message.removed.push(object.name);
            }
            else if (patch === undefined) {
                message.objects.push([object.name, object.revision, object.value]);
            }
            else {
                message.patches.push(patch);
            }
        }
        return message;
    };

    /** Returns the frames of the kind that lead to its newest position. */
    const keptFrames = (kind: string): Map<string, Buffer> => {
        const position = cache.position(kind);
        const known = frames.get(kind);
        if (known !== undefined && known.position === position && known.kept.size < maxKeptFrames) {
            return known.kept;
        }
        const kept = new Map<string, Buffer>();
        frames.set(kind, { position, kept });
        return kept;
    };

    const frameOf = (kind: string, { positions, inflates }: Follower): Buffer | undefined => {
        const since = positions.get(kind);
        const kept = keptFrames(kind);
        const key = `${since ?? "all"}-${inflates}`;
        const message = kept.has(key) ? undefined : createChanges(kind, since);
        if (message !== undefined) {
            kept.set(key, encodeMessage(message, inflates));
        }
        return kept.get(key);
    };

    /** Whether the follower has to wait for changes until its connection has taken what it was sent. */
    const isBehind = (follower: Follower, kind: string): boolean => {
        const queuedBytes = follower.connection.queuedBytes();
        const { behindSince } = follower;
        if (queuedBytes > maxQueuedBytes) {
            metrics.count("state-sends-skipped", { kind });
            if (behindSince === undefined) {
                follower.behindSince = clock.now();
                log.info("follower-behind", { follower: follower.host, kind, queuedBytes });
            }
            return true;
        }
        if (behindSince !== undefined) {
            follower.behindSince = undefined;
            const afterMilliseconds = Math.round(clock.now() - behindSince);
            log.info("follower-caught-up", { follower: follower.host, kind, afterMilliseconds });
        }
        return false;
    };

    const sendKind = (follower: Follower, kind: string): void => {
        const since = follower.positions.get(kind);
        const position = cache.position(kind);
        if (position === undefined || !isLater(position, since) || isBehind(follower, kind)) {
            return;
        }
        const frame = frameOf(kind, follower);
        if (frame !== undefined) {
            follower.connection.sendFrame(frame);
            follower.positions.set(kind, position);
            metrics.count("state-bytes-sent", { kind }, frame.length);
        }
    };

    const isUpToDate = (follower: Follower): boolean =>
        kinds.every(kind => {
            const position = cache.position(kind);
            return position !== undefined && !isLater(position, follower.positions.get(kind));
        });

    /** A host that takes places for revisions would watch the store from them. */
    const mayServe = (follower: Follower): boolean => options.isCurrent() && (follower.knowsEras || store.era() === 0);

    const sendStatus = (follower: Follower): void => {
        const current = mayServe(follower);
        if (current) {
            kinds.forEach(kind => sendKind(follower, kind));
        }
        const message: ReaderStatusMessage = {
            kind: "status",
            current: current && isUpToDate(follower),
            sentAt: Math.round(clock.now()),
            era: store.era(),
            ages: options.ages(),
        };
        follower.connection.send(message);
    };

    const sendLoadsFrame = ({ connection }: Follower, frame: Buffer): void => {
        connection.sendFrame(frame);
        metrics.count("state-bytes-sent", { kind: "loads" }, frame.length);
    };

    const dropIfStuck = (follower: Follower): void => {
        if (follower.connection.queuedBytes() === 0) {
            follower.queuedSince = undefined;
            return;
        }
        follower.queuedSince ??= clock.now();
        if (clock.now() - follower.queuedSince > maxQueuedMilliseconds) {
            log.warn("follower-stuck", { follower: follower.host, queuedBytes: follower.connection.queuedBytes() });
            follower.connection.close();
        }
    };

    const forEachFollower = (work: (follower: Follower) => void): void =>
        forEachAlone("reader-status", followers, work, { log, metrics });

    const announce = (): void => forEachFollower(sendStatus);

    const measure = (): void => {
        const ages = options.ages();
        for (const kind of kinds) {
            metrics.gauge("state-position", cache.position(kind) ?? -1, { kind });
            metrics.gauge("state-age-milliseconds", ages[kind] ?? -1, { kind });
        }
        let mostQueued = 0;
        forEachFollower(({ connection }) => {
            mostQueued = Math.max(mostQueued, connection.queuedBytes());
        });
        metrics.gauge("state-queued-bytes", mostQueued);
    };

    const announceRepeatedly = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(statusMilliseconds, signal);
            announce();
            forEachFollower(dropIfStuck);
            measure();
        }
    };
    void keepRunning("reader-status", announceRepeatedly, { clock, log, metrics, signal });

    cache.onAdvance(kind => {
        forEachFollower(follower => {
            if (mayServe(follower)) {
                sendKind(follower, kind);
            }
        });
    });

    return {
        announce,
        sendLoads: (changes, measures = []) => {
            const encoded = new Map<boolean, Buffer>();
            for (const follower of followers) {
                const { connection, inflates, missedLoads, missedMeasures } = follower;
                if (connection.queuedBytes() > 0) {
                    changes.forEach(([target, requests]) => missedLoads.set(target, requests));
                    measures.forEach(tuple => addMeasure(missedMeasures, tuple[0], measureOf(tuple)));
                }
                else if (missedLoads.size + missedMeasures.size > 0) {
                    follower.missedLoads = new Map();
                    follower.missedMeasures = new Map();
                    measures.forEach(tuple => addMeasure(missedMeasures, tuple[0], measureOf(tuple)));
                    const missed = [...missedMeasures].map(([id, measure]) => ({ id, measure }));
                    const loads = [...new Map([...missedLoads, ...changes])];
                    sendLoadsFrame(follower, encodeLoads(loads, measureTuples(missed), inflates));
                }
                else if (changes.length + measures.length > 0) {
                    const frame = encoded.get(inflates) ?? encodeLoads(changes, measures, inflates);
                    encoded.set(inflates, frame);
                    sendLoadsFrame(follower, frame);
                }
            }
        },
        service: connection => {
            lastId += 1;
            const follower: Follower = {
                id: String(lastId),
                connection,
                host: "",
                inflates: false,
                positions: new Map(),
                behindSince: undefined,
                knowsEras: false,
                queuedSince: undefined,
                missedLoads: new Map(),
                missedMeasures: new Map(),
            };
            return {
                onFrame: value => {
                    const parsed = followerMessageSchema.safeParse(value);
                    if (!parsed.success) {
                        return false;
                    }
                    if (parsed.data.kind === "loads") {
                        options.onLoads(follower.id, parsed.data);
                        return true;
                    }
                    const { host, positions, era, inflates = false } = parsed.data;
                    store.learnEra(era ?? 0);
                    follower.knowsEras = era !== undefined;
                    log.info("follower-joined", { follower: host, current: options.isCurrent() });
                    follower.host = host;
                    follower.inflates = inflates;
                    follower.positions = new Map(Object.entries(positions));
                    followers.add(follower);
                    metrics.gauge("state-followers", followers.size);
                    sendStatus(follower);
                    follower.missedLoads.clear();
                    follower.missedMeasures.clear();
                    connection.sendFrame(encodeMessage(options.wholeLoads(), inflates));
                    return true;
                },
                onClose: () => {
                    followers.delete(follower);
                    options.onLoads(follower.id, undefined);
                    metrics.gauge("state-followers", followers.size);
                },
            };
        },
    };
};
