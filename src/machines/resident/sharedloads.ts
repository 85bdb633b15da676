/**
 * Shares among all hosts how many requests each of them has at each target. With hundreds of hosts, each one hears of a
 * target so rarely that its own view is nearly always old. A host tells its counts to its zone's reader; readers tell
 * each other the sums of their zones, and their followers the totals. The messages also carry what hosts measured at
 * targets (`sharedmeasures.ts`).
 */
import type { Clock } from "../../contracts/clock.ts";
import { type LoadsMessage, loadsPath, loadsSchema, type MeasureTuple } from "../../contracts/statemessages.ts";
import type { PendingMeasures } from "../../decisions/targetmeasures.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerService } from "../../links/peers.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import { forEachAlone, keepRunning } from "../longtasks.ts";
import { createSharedMeasures, measuresField, measureTuples, type SharedMeasures } from "./sharedmeasures.ts";

export type SharedLoads = {
    /** Records how many requests this host has at the target. */
    record: (target: string, requests: number) => void;
    /** Returns the requests of all other hosts at the target; undefined while they are not known. */
    requestsOfOthers: (target: string) => number | undefined;
    /** Takes in the totals that the reader told. */
    receiveTotals: (message: LoadsMessage) => void;
    /** Takes in the counts of a follower. */
    receiveFollower: (follower: string, message: LoadsMessage) => void;
    /** Drops the counts of a follower that has left. */
    removeFollower: (follower: string) => void;
    /** Returns the totals for a follower that has just joined. */
    wholeTotals: () => LoadsMessage;
    /** Drops what the source before told, since this host has another one now. */
    resetSource: () => void;
    /** Accepts the sums of other readers. */
    service: PeerService;
    /** What this host and others measured at targets. */
    measures: SharedMeasures;
};

export type SharedLoadsOptions = {
    /** Whether this host is a reader that is current, and so adds up the counts of others. */
    isReader: () => boolean;
    /** Returns the readers to tell the sums to, a list for each group of which one is enough. */
    otherReaders: () => ReaderCandidate[][];
    dial: PeerDialer;
    /** Sends to the reader that this host follows, if it follows one. */
    sendToReader: (message: LoadsMessage) => boolean;
    /**
     * Tells followers what has changed and what was measured. Also called with neither, for followers that could not be
     * told before.
     */
    sendToFollowers: (changes: LoadsMessage["loads"], measures: MeasureTuple[]) => void;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Interval of messages: counts that are older by the service time of a request say little. */
const shareMilliseconds = 120;

type Counts = Map<string, number>;

/** Returns the counts that differ from those sent before, and records them as sent. */
const takeChanges = (current: Counts, sent: Counts): LoadsMessage["loads"] => {
    const changes: LoadsMessage["loads"] = [];
    for (const [target, requests] of current) {
        if (requests !== (sent.get(target) ?? 0)) {
            changes.push([target, requests]);
        }
    }
    for (const target of sent.keys()) {
        if (!current.has(target)) {
            changes.push([target, 0]);
        }
    }
    changes.forEach(([target, requests]) => requests === 0 ? sent.delete(target) : sent.set(target, requests));
    return changes;
};

const applyMessage = (counts: Counts, { whole, loads }: LoadsMessage): void => {
    if (whole) {
        counts.clear();
    }
    loads.forEach(([target, requests]) => requests === 0 ? counts.delete(target) : counts.set(target, requests));
};

const add = (sums: Counts, counts: Counts): void => {
    counts.forEach((requests, target) => sums.set(target, (sums.get(target) ?? 0) + requests));
};

/** A connection to another reader, and what was sent on it. */
type Outgoing = { reader: ReaderCandidate; connection: PeerConnection; sent: Counts; measures: PendingMeasures };

/** Starts to share. */
export const createSharedLoads = (options: SharedLoadsOptions): SharedLoads => {
    const { clock, signal, dial } = options;
    const own: Counts = new Map();
    const followers = new Map<string, Counts>();
    const zones = new Map<PeerConnection, Counts>();
    /** The totals that this host told its followers, or was told by its reader. */
    let totals: Counts = new Map();
    let areTotalsKnown = false;
    let sentToReader: Counts = new Map();
    const outgoing = new Map<number, Outgoing>();
    const attempts = new Map<number, number>();
    const shared = createSharedMeasures(options);

    const zoneSums = (): Counts => {
        const sums = new Map(own);
        followers.forEach(counts => add(sums, counts));
        return sums;
    };

    const connectTo = (group: number, candidates: ReaderCandidate[]): void => {
        const attempt = attempts.get(group) ?? 0;
        attempts.set(group, attempt + 1);
        const reader = candidates[attempt % candidates.length];
        const measures = shared.addReader();
        const connection = dial(reader.address, loadsPath, {
            onFrame: () => false,
            onClose: () => {
                shared.removeReader(measures);
                if (outgoing.get(group)?.connection === connection) {
                    outgoing.delete(group);
                }
            },
        });
        outgoing.set(group, { reader, connection, sent: new Map(), measures });
    };

    const tellReaders = (sums: Counts): void => {
        forEachAlone("shared-loads", options.otherReaders().entries(), ([group, candidates]) => {
            const known = outgoing.get(group);
            if (known === undefined) {
                connectTo(group, candidates);
                return;
            }
            if (!candidates.some(({ name }) => name === known.reader.name)) {
                known.connection.close();
                return;
            }
            if (known.connection.isOpen() && known.connection.queuedBytes() === 0) {
                const measures = known.measures.due(clock.now());
                const message: LoadsMessage = {
                    kind: "loads",
                    whole: known.sent.size === 0,
                    loads: takeChanges(sums, known.sent),
                    ...measuresField(measureTuples(measures)),
                };
                known.connection.send(message);
                known.measures.markSent(measures, clock.now());
            }
        }, options);
    };

    const shareAsReader = (): void => {
        const sums = zoneSums();
        shared.passOwn();
        tellReaders(sums);
        zones.forEach(counts => add(sums, counts));
        const changes = takeChanges(sums, totals);
        areTotalsKnown = true;
        const measures = shared.forFollowers.due(clock.now());
        shared.forFollowers.markSent(measures, clock.now());
        options.sendToFollowers(changes, measureTuples(measures));
    };

    const shareAsFollower = (): void => {
        forEachAlone("shared-loads", outgoing.values(), ({ connection }) => connection.close(), options);
        const sent = new Map(sentToReader);
        const whole = sent.size === 0;
        const loads = takeChanges(own, sent);
        const measures = shared.dueToReader();
        const message: LoadsMessage = { kind: "loads", whole, loads, ...measuresField(measureTuples(measures)) };
        if (loads.length + measures.length > 0 && options.sendToReader(message)) {
            sentToReader = sent;
            shared.markSentToReader(measures);
        }
    };

    const shareRepeatedly = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(shareMilliseconds, signal);
            (options.isReader() ? shareAsReader : shareAsFollower)();
        }
    };
    void keepRunning("shared-loads", shareRepeatedly, options);

    return {
        record: (target, requests) => {
            if (requests === 0) {
                own.delete(target);
            }
            else {
                own.set(target, requests);
            }
        },
        requestsOfOthers: target => {
            if (!areTotalsKnown) {
                return undefined;
            }
            const counted = options.isReader() ? own : sentToReader;
            return Math.max(0, (totals.get(target) ?? 0) - (counted.get(target) ?? 0));
        },
        receiveTotals: message => {
            areTotalsKnown ||= message.whole;
            applyMessage(totals, message);
            shared.receiveTotals(message.measures ?? [], message.whole);
        },
        receiveFollower: (follower, message) => {
            const counts = followers.get(follower) ?? new Map<string, number>();
            followers.set(follower, counts);
            applyMessage(counts, message);
            shared.receiveFollower(follower, message.measures ?? []);
        },
        removeFollower: follower => {
            followers.delete(follower);
            shared.removeFollower(follower);
        },
        wholeTotals: () => ({ kind: "loads", whole: true, loads: [...totals], ...measuresField(shared.all()) }),
        resetSource: () => {
            totals = new Map();
            areTotalsKnown = false;
            sentToReader = new Map();
            shared.resetSource();
        },
        service: connection => ({
            onFrame: value => {
                const parsed = loadsSchema.safeParse(value);
                if (!parsed.success) {
                    return false;
                }
                const counts = zones.get(connection) ?? new Map<string, number>();
                zones.set(connection, counts);
                applyMessage(counts, parsed.data);
                shared.receiveZone(connection, parsed.data.measures ?? []);
                return true;
            },
            onClose: () => zones.delete(connection),
        }),
        measures: shared,
    };
};
