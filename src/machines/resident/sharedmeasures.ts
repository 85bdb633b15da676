/**
 * The service times and failures of targets that this host and others measured. They are shared with the messages of
 * shared loads: a host tells what it measured to its zone's reader, readers tell each other what their zones measured,
 * and their followers everything. A host that no reader tells anything goes on with its own measurements.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { RegisteredTarget } from "../../contracts/routing.ts";
import type { LoadsMessage, MeasureTuple } from "../../contracts/statemessages.ts";
import {
    addMeasure,
    createMeasureLimit,
    createPendingMeasures,
    createTargetMeasures,
    limitMean,
    type MeasureEntry,
    type MeasureLimit,
    type PendingMeasures,
    type RateLimit,
    type ServiceFigure,
    type TargetMeasure,
} from "../../decisions/targetmeasures.ts";
import type { Metrics } from "../../links/metrics.ts";
import { digestHash } from "../../zones/digesthash.ts";

export type MeasuredTarget = Pick<RegisteredTarget, "name" | "incarnation" | "pool">;

/** `isOwn` tells whether this host measured it. */
export type MeasureListener = (target: MeasuredTarget, measure: TargetMeasure, isOwn: boolean) => void;

export type SharedMeasures = {
    /** Takes in a target, or that it is gone. */
    setTarget: (target: MeasuredTarget, gone: boolean) => void;
    /** Records an answer of the target. */
    recordAnswer: (target: MeasuredTarget, serviceMilliseconds: number) => void;
    /** Records that the target failed a request. */
    recordFailure: (target: MeasuredTarget) => void;
    /**
     * Returns the target's service time as known from all hosts; undefined when nothing is known of this incarnation.
     */
    figureOf: (target: MeasuredTarget) => ServiceFigure | undefined;
    /** Returns the service time of the target's current incarnation; undefined when it rests on few answers. */
    knownMilliseconds: (target: string) => number | undefined;
    /**
     * Calls the listener with each measure of a known target, once: those of this host at once, those of others when they
     * arrive. Those that a host gets when it begins to follow a reader are left out, since they are not new.
     */
    onMeasure: (listener: MeasureListener) => void;
};

/** What the messages of shared loads carry. */
export type MeasureExchange = SharedMeasures & {
    /** Returns what is due to the reader that this host follows. */
    dueToReader: () => MeasureEntry[];
    /** Records that the reader was sent these. */
    markSentToReader: (entries: MeasureEntry[]) => void;
    /** Hands what this host measured to the receivers of a reader. */
    passOwn: () => void;
    /** What waits for the followers of a reader. */
    forFollowers: PendingMeasures;
    /** Creates what waits for another reader: measures of this zone. Those of other zones get to it from there. */
    addReader: () => PendingMeasures;
    removeReader: (pending: PendingMeasures) => void;
    receiveFollower: (follower: string, measures: readonly MeasureTuple[]) => void;
    removeFollower: (follower: string) => void;
    receiveZone: (zone: object, measures: readonly MeasureTuple[]) => void;
    /** Takes in what the reader told; `whole` are its figures of all targets. */
    receiveTotals: (measures: readonly MeasureTuple[], whole: boolean) => void;
    /** Returns the figures of all targets for a follower that has just joined. */
    all: () => MeasureTuple[];
    resetSource: () => void;
};

const idRange = 2 ** 32;
/**
 * Limits of what one host may tell. A host that told false figures of all targets without the limit on the sum displaced
 * those of 84 others: 8% fewer answers in time. Hosts with more requests count with their mean, as if they had fewer.
 */
const hostLimit: RateLimit = { perSecond: 0.5, burst: 2 };
const hostSumLimit: RateLimit = { perSecond: 40, burst: 80 };
const zoneLimit: RateLimit = { perSecond: 100, burst: 100 };
const zoneSumLimit: RateLimit = { perSecond: 10_000, burst: 10_000 };
/** What the reader was told comes back with its totals after this time at the latest, or not at all. */
const maxReturnMilliseconds = 3_000;
/** Figures that rest on fewer answers are not better than the pool's median. */
const minKnownWeight = 6;
/** The median of a pool's service times changes slowly. */
const medianValidMilliseconds = 1_000;

/** Returns the tuples of a message. */
export const measureTuples = (entries: readonly MeasureEntry[]): MeasureTuple[] =>
    entries.map(({ id, measure: { answered, serviceMilliseconds, failed } }) => {
        const answers = Math.round(answered);
        const sum = answered > 0 ? Math.round(serviceMilliseconds * answers / answered) : 0;
        return Math.round(failed) === 0 ? [id, answers, sum] : [id, answers, sum, Math.round(failed)];
    });

/** Returns the field of a message, which is absent when there is no measure. */
export const measuresField = (measures: MeasureTuple[]): Pick<LoadsMessage, "measures"> =>
    measures.length === 0 ? {} : { measures };

/** Returns the measure of a tuple of a message. */
export const measureOf = ([, answered, serviceMilliseconds, failed = 0]: MeasureTuple): TargetMeasure => ({
    answered,
    serviceMilliseconds,
    failed,
});

/** Creates the measures of one host. */
export const createSharedMeasures = ({ clock, metrics }: { clock: Clock; metrics: Metrics }): MeasureExchange => {
    const figures = createTargetMeasures();
    const levelOf = (id: number): number | undefined => figures.figure(id, clock.now())?.milliseconds;
    const targets = new Map<number, MeasuredTarget>();
    /** Numbers of the known targets by name, since a digest for each request would cost more than the look-up. */
    const ids = new Map<string, { incarnation: string; id: number }>();
    const listeners: MeasureListener[] = [];
    const own = createPendingMeasures(levelOf);
    const forFollowers = createPendingMeasures(levelOf);
    const readers = new Set<PendingMeasures>();
    const createHostLimit = () => createMeasureLimit(hostLimit, hostSumLimit);
    const createZoneLimit = () => createMeasureLimit(zoneLimit, zoneSumLimit);
    const hostLimits = new Map<string, MeasureLimit>();
    const zoneLimits = new WeakMap<object, MeasureLimit>();
    /** What the reader was told and has not sent back with its totals, and what it was told before that. */
    let returning = new Map<number, TargetMeasure>();
    let returningBefore = new Map<number, TargetMeasure>();
    let returningSince = 0;
    /** The reader counts no more than this of what it is told. */
    let returningLimit = createHostLimit();
    const medians = new Map<string, { milliseconds: number | undefined; until: number }>();

    const idOf = ({ name, incarnation }: MeasuredTarget): number => {
        const known = ids.get(name);
        return known?.incarnation === incarnation ? known.id : digestHash(`${name}#${incarnation}`, idRange);
    };

    const computeMedian = (pool: string, now: number): number | undefined => {
        const known: number[] = [];
        const ages: number[] = [];
        for (const [id, target] of targets) {
            const figure = target.pool === pool ? figures.figure(id, now) : undefined;
            if (figure !== undefined) {
                known.push(figure.milliseconds);
                ages.push(figure.ageMilliseconds);
            }
        }
        known.sort((left, right) => left - right);
        ages.sort((left, right) => left - right);
        metrics.gauge("service-times-known", known.length, { pool });
        metrics.gauge("service-time-age-milliseconds", Math.round(ages[ages.length >> 1] ?? -1), { pool });
        return known[known.length >> 1];
    };

    const medianOf = (id: number): number | undefined => {
        const pool = targets.get(id)?.pool;
        if (pool === undefined) {
            return undefined;
        }
        const now = clock.now();
        const held = medians.get(pool);
        if (held !== undefined && now < held.until) {
            return held.milliseconds;
        }
        const milliseconds = computeMedian(pool, now);
        medians.set(pool, { milliseconds, until: now + medianValidMilliseconds });
        return milliseconds;
    };

    const take = (id: number, measure: TargetMeasure, isOwn = false): void => {
        figures.record(id, measure, clock.now());
        const target = targets.get(id);
        if (target !== undefined) {
            listeners.forEach(listener => listener(target, measure, isOwn));
        }
    };

    const recordOwn = (target: MeasuredTarget, measure: TargetMeasure): void => {
        const id = idOf(target);
        // Keeps the median and its metrics up to date also on a host that hears nothing of others.
        medianOf(id);
        take(id, measure, true);
        own.add(id, measure, clock.now());
    };

    const pass = (receivers: Iterable<PendingMeasures>, { id, measure }: MeasureEntry): void => {
        for (const pending of receivers) {
            pending.add(id, measure, clock.now());
        }
    };

    /** Takes in what another host told, and passes it on. */
    const receive = (
        tuples: readonly MeasureTuple[],
        limit: MeasureLimit,
        receivers: PendingMeasures[],
    ): void => {
        for (const tuple of tuples) {
            const [id] = tuple;
            const limited = limit(id, measureOf(tuple), clock.now());
            const measure = limited === undefined ? undefined : limitMean(limited, medianOf(id));
            if (measure !== undefined) {
                take(id, measure);
                pass(receivers, { id, measure });
            }
        }
    };

    /** Returns the measure less what this host itself had told the reader. */
    const withoutOwn = (measure: TargetMeasure, told: TargetMeasure | undefined): TargetMeasure => {
        if (told === undefined) {
            return measure;
        }
        const answered = Math.min(told.answered, measure.answered);
        const failed = Math.min(told.failed, measure.failed);
        const serviceMilliseconds = told.answered === 0 ? 0 : told.serviceMilliseconds * answered / told.answered;
        told.answered -= answered;
        told.failed -= failed;
        told.serviceMilliseconds -= serviceMilliseconds;
        return {
            answered: measure.answered - answered,
            serviceMilliseconds: Math.max(0, measure.serviceMilliseconds - serviceMilliseconds),
            failed: measure.failed - failed,
        };
    };

    return {
        setTarget: (target, gone) => {
            const id = idOf(target);
            const before = ids.get(target.name);
            if (before !== undefined && (gone || before.id !== id)) {
                targets.delete(before.id);
                ids.delete(target.name);
            }
            if (!gone) {
                targets.set(id, target);
                ids.set(target.name, { incarnation: target.incarnation, id });
            }
        },
        recordAnswer: (target, serviceMilliseconds) =>
            recordOwn(target, { answered: 1, serviceMilliseconds, failed: 0 }),
        recordFailure: target => recordOwn(target, { answered: 0, serviceMilliseconds: 0, failed: 1 }),
        figureOf: target => figures.figure(idOf(target), clock.now()),
        knownMilliseconds: name => {
            const known = ids.get(name);
            const figure = known === undefined ? undefined : figures.figure(known.id, clock.now());
            return figure !== undefined && figure.weight >= minKnownWeight ? figure.milliseconds : undefined;
        },
        onMeasure: listener => listeners.push(listener),
        dueToReader: () => own.due(clock.now()),
        markSentToReader: entries => {
            const now = clock.now();
            if (now - returningSince > maxReturnMilliseconds / 2) {
                returningSince = now;
                returningBefore = returning;
                returning = new Map();
            }
            for (const { id, measure } of entries) {
                const counted = returningLimit(id, measure, now);
                if (counted !== undefined) {
                    addMeasure(returning, id, counted);
                }
            }
            own.markSent(entries, now);
        },
        passOwn: () => own.drain().forEach(entry => pass([forFollowers, ...readers], entry)),
        forFollowers,
        addReader: () => {
            const pending = createPendingMeasures(levelOf);
            readers.add(pending);
            return pending;
        },
        removeReader: pending => readers.delete(pending),
        receiveFollower: (follower, measures) => {
            const limit = hostLimits.get(follower) ?? createHostLimit();
            hostLimits.set(follower, limit);
            receive(measures, limit, [forFollowers, ...readers]);
        },
        removeFollower: follower => hostLimits.delete(follower),
        receiveZone: (zone, measures) => {
            const limit = zoneLimits.get(zone) ?? createZoneLimit();
            zoneLimits.set(zone, limit);
            receive(measures, limit, [forFollowers]);
        },
        receiveTotals: (measures, whole) => {
            const now = clock.now();
            for (const tuple of measures) {
                const [id] = tuple;
                const measure = limitMean(measureOf(tuple), medianOf(id));
                if (whole) {
                    figures.adopt(id, measure, now);
                    continue;
                }
                const rest = withoutOwn(measure, returningBefore.get(id));
                const ofOthers = withoutOwn(rest, returning.get(id));
                if (ofOthers.answered > 0 || ofOthers.failed > 0) {
                    take(id, ofOthers);
                }
            }
        },
        all: () => measureTuples(figures.all(clock.now())),
        resetSource: () => {
            returning = new Map();
            returningBefore = new Map();
            returningLimit = createHostLimit();
        },
    };
};
