/**
 * Service times of targets from the measurements of all hosts. A target is identified by a number that all hosts derive
 * from its name and incarnation, so that a message needs a few bytes for each target. Times are monotonic milliseconds.
 */

/** What was measured at one target in some time. */
export type TargetMeasure = {
    /** Answers whose service time is known. */
    answered: number;
    /** Sum of the service times of these answers. */
    serviceMilliseconds: number;
    /** Requests that the target failed. */
    failed: number;
};

export type MeasureEntry = { id: number; measure: TargetMeasure };

/** The service time of one target as known from all hosts. */
export type ServiceFigure = {
    milliseconds: number;
    /** Number of answers that it rests on, each counted less the older it is. */
    weight: number;
    /** Time since the last measure. */
    ageMilliseconds: number;
};

/** Adds the measure to what is kept under the id. */
export const addMeasure = (
    measures: Map<number, TargetMeasure>,
    id: number,
    { answered, serviceMilliseconds, failed }: TargetMeasure,
): void => {
    const held = measures.get(id);
    if (held === undefined) {
        measures.set(id, { answered, serviceMilliseconds, failed });
        return;
    }
    held.answered += answered;
    held.serviceMilliseconds += serviceMilliseconds;
    held.failed += failed;
};

/**
 * Half-life of a measurement. A target with an answer a second then has a weight of 14; one that has become slow and
 * gets no more requests counts as the pool's median again after about a minute.
 */
const halfLifeMilliseconds = 10_000;
/** Half-life in the short-term mean, which shows that a target has become slower or faster. */
const shortTermHalfLifeMilliseconds = 3_000;
/** Below this weight the short-term mean varies by more than a third by chance. */
const minShortTermWeight = 6;
/** The means may differ by up to this factor by chance; the long-term mean is kept within it of the short-term mean. */
const maxChanceFactor = 1.8;
/** Figures that rest on less than this are removed, as those of targets that are gone. */
const minWeight = 0.01;
const minRemovalIntervalMilliseconds = 10_000;

type DecayingMean = { weight: number; sum: number };
type HeldFigure = { long: DecayingMean; short: DecayingMean; at: number };

const decay = (mean: DecayingMean, milliseconds: number, halfLife: number): void => {
    const factor = 0.5 ** (milliseconds / halfLife);
    mean.weight *= factor;
    mean.sum *= factor;
};

export type TargetMeasures = {
    record: (id: number, measure: TargetMeasure, now: number) => void;
    /** Takes in a figure of another host unless the own one rests on more. */
    adopt: (id: number, figure: TargetMeasure, now: number) => void;
    figure: (id: number, now: number) => ServiceFigure | undefined;
    /** Returns all figures as measures, with their weights, rounded, as numbers of answers. */
    all: (now: number) => MeasureEntry[];
};

/** Creates the figures of one host, without any measurement. */
export const createTargetMeasures = (): TargetMeasures => {
    const figures = new Map<number, HeldFigure>();
    let removedAt = -Infinity;

    const weightAt = ({ long, at }: HeldFigure, now: number): number =>
        long.weight * 0.5 ** ((now - at) / halfLifeMilliseconds);

    const removeOld = (now: number): void => {
        if (now - removedAt > minRemovalIntervalMilliseconds) {
            removedAt = now;
            figures.forEach((held, id) => weightAt(held, now) < minWeight && figures.delete(id));
        }
    };

    return {
        record: (id, { answered, serviceMilliseconds }, now) => {
            if (answered <= 0) {
                return;
            }
            removeOld(now);
            const held = figures.get(id)
                ?? { long: { weight: 0, sum: 0 }, short: { weight: 0, sum: 0 }, at: now };
            figures.set(id, held);
            const { long, short } = held;
            const passed = Math.max(0, now - held.at);
            decay(long, passed, halfLifeMilliseconds);
            decay(short, passed, shortTermHalfLifeMilliseconds);
            held.at = now;
            for (const mean of [long, short]) {
                mean.weight += answered;
                mean.sum += serviceMilliseconds;
            }
            if (short.weight >= minShortTermWeight) {
                const shortTerm = short.sum / short.weight;
                const longTerm = Math.min(
                    shortTerm * maxChanceFactor,
                    Math.max(shortTerm / maxChanceFactor, long.sum / long.weight),
                );
                long.sum = longTerm * long.weight;
            }
        },
        adopt: (id, { answered, serviceMilliseconds }, now) => {
            const held = figures.get(id);
            if (answered > 0 && (held === undefined || weightAt(held, now) < answered)) {
                const long = { weight: answered, sum: serviceMilliseconds };
                figures.set(id, { long, short: { weight: 0, sum: 0 }, at: now });
            }
        },
        figure: (id, now) => {
            const held = figures.get(id);
            return held === undefined ? undefined : {
                milliseconds: held.long.sum / held.long.weight,
                weight: weightAt(held, now),
                ageMilliseconds: Math.max(0, now - held.at),
            };
        },
        all: now =>
            [...figures].flatMap(([id, held]) => {
                const answered = Math.round(weightAt(held, now));
                const serviceMilliseconds = answered * held.long.sum / held.long.weight;
                return answered === 0 ? [] : [{ id, measure: { answered, serviceMilliseconds, failed: 0 } }];
            }),
    };
};

/** The mean of one message is limited to this factor of the pool's median: a false one can say no more. */
const maxMessageFactor = 6;

/** Limits the mean service time of the measure, as told by another host, in relation to the pool's median. */
export const limitMean = (measure: TargetMeasure, medianMilliseconds: number | undefined): TargetMeasure => {
    if (medianMilliseconds === undefined) {
        return measure;
    }
    const { answered } = measure;
    const serviceMilliseconds = Math.min(
        answered * medianMilliseconds * maxMessageFactor,
        Math.max(answered * medianMilliseconds / maxMessageFactor, measure.serviceMilliseconds),
    );
    return { ...measure, serviceMilliseconds };
};

/** Number of entries from which those that no longer limit anything are removed. */
const minEntriesToRemove = 1_024;

/** A limit on a rate: `perSecond` on average, `burst` at once. */
export type RateLimit = { perSecond: number; burst: number };

export type MeasureLimit = (id: number, measure: TargetMeasure, now: number) => TargetMeasure | undefined;

/** Returns how many may be counted when those that were counted before are used up at the time given. */
const roomFor = ({ perSecond, burst }: RateLimit, usedUntil: number, now: number): number =>
    Math.floor(burst - Math.max(0, usedUntil - now) * perSecond / 1_000);

/**
 * Limits how many answers and failures one source may tell of each target, and of all targets. More count with the same
 * mean and the same share of failures, but as fewer. Returns undefined where none is left.
 */
export const createMeasureLimit = (ofTarget: RateLimit, ofAll: RateLimit): MeasureLimit => {
    /** When the answers that were counted are used up, by target and for all. */
    const usedUntil = new Map<number, number>();
    let allUsedUntil = -Infinity;
    return (id, measure, now) => {
        const usedBefore = usedUntil.get(id) ?? -Infinity;
        const room = Math.min(roomFor(ofTarget, usedBefore, now), roomFor(ofAll, allUsedUntil, now));
        const told = measure.answered + measure.failed;
        if (room < 1 || told === 0) {
            return undefined;
        }
        if (usedUntil.size > minEntriesToRemove) {
            usedUntil.forEach((until, other) => until < now && usedUntil.delete(other));
        }
        const counted = Math.min(told, room);
        usedUntil.set(id, Math.max(now, usedBefore) + counted * 1_000 / ofTarget.perSecond);
        allUsedUntil = Math.max(now, allUsedUntil) + counted * 1_000 / ofAll.perSecond;
        const share = counted / told;
        return {
            answered: measure.answered * share,
            serviceMilliseconds: measure.serviceMilliseconds * share,
            failed: measure.failed * share,
        };
    };
};

/** Measures that were not sent yet to one receiver. */
export type PendingMeasures = {
    add: (id: number, measure: TargetMeasure, now: number) => void;
    /** Returns the measures that are due. They stay until `markSent`. */
    due: (now: number) => MeasureEntry[];
    markSent: (entries: MeasureEntry[], now: number) => void;
    /** Removes and returns all measures. */
    drain: () => MeasureEntry[];
};

export const sendMilliseconds = 500;
/** Bounds the bytes a second, at about ten bytes a measure, whatever the number of targets. */
const maxSentPerSecond = 300;
/** A measure that waited longer than this is dropped, such as that of a host that was stopped for a while. */
const maxPendingMilliseconds = 3_000;
/** A level that has changed by this factor is sent with the next message, if so many answers or failures show it. */
const urgentFactor = 1.5;
const minUrgentAnswers = 3;
const minUrgentFailures = 2;

/** @param levelOf returns the service time of a target as known so far. */
export const createPendingMeasures = (levelOf: (id: number) => number | undefined): PendingMeasures => {
    let pending = new Map<number, TargetMeasure>();
    const since = new Map<number, number>();
    /** Targets whose level may have changed. */
    const urgent = new Set<number>();
    let sentAt = -Infinity;
    let room = maxSentPerSecond * sendMilliseconds / 1_000;
    let roomAt = 0;

    const isUrgent = (id: number, { answered, serviceMilliseconds, failed }: TargetMeasure): boolean => {
        const level = levelOf(id);
        const ratio = answered < minUrgentAnswers || level === undefined ? 1 : serviceMilliseconds / answered / level;
        return failed >= minUrgentFailures || ratio >= urgentFactor || ratio <= 1 / urgentFactor;
    };

    const remove = (id: number): void => {
        pending.delete(id);
        since.delete(id);
        urgent.delete(id);
    };

    const entriesOf = (ids: Iterable<number>): MeasureEntry[] =>
        [...ids].flatMap(id => {
            const measure = pending.get(id);
            return measure === undefined ? [] : [{ id, measure }];
        });

    const currentRoom = (now: number): number => {
        const most = maxSentPerSecond * sendMilliseconds / 1_000;
        return Math.min(most, room + Math.max(0, now - roomAt) * maxSentPerSecond / 1_000);
    };

    return {
        add: (id, measure, now) => {
            addMeasure(pending, id, measure);
            if (!since.has(id)) {
                since.set(id, now);
            }
            const held = pending.get(id);
            if (held !== undefined && isUrgent(id, held)) {
                urgent.add(id);
            }
        },
        due: now => {
            // Entries are in the order in which they began to wait.
            for (const [id, at] of since) {
                if (now - at <= maxPendingMilliseconds) {
                    break;
                }
                remove(id);
            }
            const isTime = now - sentAt >= sendMilliseconds;
            const entries = entriesOf(isTime ? new Set([...urgent, ...pending.keys()]) : urgent);
            return entries
                .filter(({ measure }) => Math.round(measure.answered) > 0 || Math.round(measure.failed) > 0)
                .slice(0, Math.floor(currentRoom(now)));
        },
        markSent: (entries, now) => {
            room = currentRoom(now) - entries.length;
            roomAt = now;
            sentAt = now - sentAt >= sendMilliseconds ? now : sentAt;
            entries.forEach(({ id }) => remove(id));
        },
        drain: () => {
            const entries = entriesOf(pending.keys());
            pending = new Map();
            since.clear();
            urgent.clear();
            return entries;
        },
    };
};

/** What one host has measured at a target by itself. */
export type OwnService = { milliseconds: number; answers: number };

/** Weight of the pool's median beside the measurements of a target. */
const medianWeight = 2;
/** Own answers count as no more than this: they are from any time, and include time spent in the target's queue. */
const maxOwnWeight = 4;
/** An estimate may differ from the median by one part more for each so many answers that it rests on. */
const answersPerPart = 4;
/** Estimates never differ from the median by more than this factor. */
const maxFactor = 10;

/**
 * Estimates the service time of a target. A few answers say little, so that the estimate stays near the pool's median: a
 * single slow answer must not make a host refuse requests for a free target.
 */
export const estimateServiceMilliseconds = (
    fleet: ServiceFigure | undefined,
    own: OwnService | undefined,
    medianMilliseconds: number,
): number => {
    const ownWeight = Math.min(maxOwnWeight, own?.answers ?? 0);
    const fleetWeight = fleet?.weight ?? 0;
    const weight = Math.max(fleetWeight, ownWeight);
    const measured = fleetWeight >= ownWeight ? fleet?.milliseconds : own?.milliseconds;
    if (measured === undefined) {
        return medianMilliseconds;
    }
    const mean = (measured * weight + medianMilliseconds * medianWeight) / (weight + medianWeight);
    const factor = Math.min(maxFactor, 1 + weight / answersPerPart);
    return Math.min(medianMilliseconds * factor, Math.max(medianMilliseconds / factor, mean));
};

/**
 * Applies a target's own statement of how slow it is at the moment. The estimate may already include the slowness, so
 * that the larger of both counts and not their product.
 *
 * @param scale current service time as a multiple of the usual one.
 */
export const scaleServiceMilliseconds = (estimate: number, medianMilliseconds: number, scale: number): number => {
    const base = Math.min(estimate, medianMilliseconds);
    const top = Math.max(estimate, medianMilliseconds);
    return scale >= 1 ? Math.max(estimate, base * scale) : Math.min(estimate, top * scale);
};
