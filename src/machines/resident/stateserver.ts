/**
 * Serves the store's state to the hosts that follow this one. Changes are sent as they become known; a slow follower
 * gets fewer and larger messages, since changes that wait are sent together.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { ObjectStore, StoreObject } from "../../contracts/objectstore.ts";
import {
    type ChangesMessage,
    followerMessageSchema,
    type LoadsMessage,
    type ReaderStatusMessage,
    type ValuePatch,
} from "../../contracts/statemessages.ts";
import { isLater } from "../../contracts/storehistory.ts";
import { encodeFrame } from "../../links/frames.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerService } from "../../links/peers.ts";
import { forEachAlone, keepRunning } from "../longtasks.ts";
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
    /** Sends loads to all followers. */
    sendLoads: (message: LoadsMessage) => void;
};

type Follower = {
    /** Unique, also when a host follows again. */
    id: string;
    connection: PeerConnection;
    host: string;
    /** Position up to which each kind was sent. */
    positions: Map<string, number>;
    /** Whether it tells places in the store's history from revisions; a host of an earlier version does not. */
    knowsEras: boolean;
    /** Monotonic time since which bytes have waited to be sent; undefined while none wait. */
    queuedSince: number | undefined;
};

/** A follower ignores a reader from which it heard nothing for about three times this. */
export const statusMilliseconds = 400;
/** While more bytes wait to be sent to a follower, it gets no more changes. */
const maxQueuedBytes = 262_144;
/** A follower to which bytes wait for this long is dropped: its connection may be silent for good. */
const maxQueuedMilliseconds = 4_000;

/** Creates the server. */
export const createStateServer = (options: StateServerOptions): StateServer => {
    const { store, cache, kinds, patches, clock, log, metrics, signal } = options;
    const followers = new Set<Follower>();
    let lastId = 0;
    /** Frames of the newest changes by kind and position, since nearly all followers get the same. */
    const frames = new Map<string, { key: string; frame: Buffer }>();

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

    const frameOf = (kind: string, since: number | undefined): Buffer | undefined => {
        const key = `${since ?? "all"}-${cache.position(kind)}`;
        const known = frames.get(kind);
        if (known?.key === key) {
            return known.frame;
        }
        const message = createChanges(kind, since);
        if (message === undefined) {
            return undefined;
        }
        const frame = encodeFrame(message);
        frames.set(kind, { key, frame });
        return frame;
    };

    const sendKind = (follower: Follower, kind: string): void => {
        const since = follower.positions.get(kind);
        const position = cache.position(kind);
        const isNews = position !== undefined && isLater(position, since);
        if (!isNews || follower.connection.queuedBytes() > maxQueuedBytes) {
            return;
        }
        const frame = frameOf(kind, since);
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
        };
        follower.connection.send(message);
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

    const announceRepeatedly = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(statusMilliseconds, signal);
            announce();
            forEachFollower(dropIfStuck);
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
        sendLoads: message => {
            const frame = encodeFrame(message);
            for (const { connection } of followers) {
                if (connection.queuedBytes() === 0) {
                    connection.sendFrame(frame);
                }
            }
        },
        service: connection => {
            lastId += 1;
            const follower: Follower = {
                id: String(lastId),
                connection,
                host: "",
                positions: new Map(),
                knowsEras: false,
                queuedSince: undefined,
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
                    const { host, positions, era } = parsed.data;
                    store.learnEra(era ?? 0);
                    follower.knowsEras = era !== undefined;
                    log.info("follower-joined", { follower: host, current: options.isCurrent() });
                    follower.host = host;
                    follower.positions = new Map(Object.entries(positions));
                    followers.add(follower);
                    metrics.gauge("state-followers", followers.size);
                    sendStatus(follower);
                    connection.send(options.wholeLoads());
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
