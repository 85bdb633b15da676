/**
 * Detection: whether a target or a host is lost. One host's view is never enough where others can see too: a target is
 * lost when most of the hosts that probe it say so, and a host whose findings the others contradict does not count.
 */

/** What one host finds of one target. */
export const findings = { answering: "answering", silent: "silent", refusing: "refusing" } as const;
export type ProbeFinding = (typeof findings)[keyof typeof findings];

/** What a host knows of a target that it probes, kept up by the renewer. Times are its monotonic milliseconds. */
export type ProbeRecord = {
    /** When the oldest question without an answer was sent; undefined when all are answered. */
    unansweredSince: number | undefined;
    /** Refused or broken connections since the last answer. */
    failures: number;
    /** Smoothed time from question to answer. */
    answerMilliseconds: number;
};

export type ProbeOptions = {
    /** Silence from which a target that usually answers at once is found silent. */
    silenceMilliseconds: number;
    /** Silence is also at least this many times the usual time to answer, since a slow target is not a lost one. */
    slowFactor: number;
    /** Longest silence that is waited for, however slow the target. */
    maxSilenceMilliseconds: number;
    /** Failures in a row from which a target is found refusing. */
    failures: number;
};

export const defaultProbeOptions: ProbeOptions = {
    silenceMilliseconds: 180,
    slowFactor: 4,
    maxSilenceMilliseconds: 2_000,
    failures: 2,
};

/** Silence after which a target with this usual time to answer is found silent. */
export const silenceLimit = (answerMilliseconds: number, options: ProbeOptions): number =>
    Math.min(
        options.maxSilenceMilliseconds,
        Math.max(options.silenceMilliseconds, answerMilliseconds * options.slowFactor),
    );

/** What a host finds of a target now. */
export const findingOf = (record: ProbeRecord, now: number, options: ProbeOptions): ProbeFinding => {
    if (record.failures >= options.failures) {
        return findings.refusing;
    }
    const silence = record.unansweredSince === undefined ? 0 : now - record.unansweredSince;
    return silence >= silenceLimit(record.answerMilliseconds, options) ? findings.silent : findings.answering;
};

/** What each host that probes says of each target: host, then target. */
export type Evidence = ReadonlyMap<string, ReadonlyMap<string, ProbeFinding>>;

const isFailing = (finding: ProbeFinding | undefined): boolean =>
    finding === findings.silent || finding === findings.refusing;

/** Whether at least half of the failures that the host finds are contradicted by another host. */
const isContradicted = (host: string, evidence: Evidence): boolean => {
    let failing = 0;
    let contradicted = 0;
    for (const [target, finding] of evidence.get(host) ?? []) {
        if (!isFailing(finding)) {
            continue;
        }
        failing += 1;
        for (const [other, found] of evidence) {
            if (other !== host && found.get(target) === findings.answering) {
                contradicted += 1;
                break;
            }
        }
    }
    return failing >= 2 && contradicted * 2 >= failing;
};

/**
 * Targets that are lost by the evidence: more than half of the credible hosts that probe it find it failing, and at
 * least two of them unless only one host probes it at all.
 */
export const lostTargets = (evidence: Evidence): string[] => {
    const failing = new Map<string, number>();
    const probing = new Map<string, number>();
    const answering = new Set<string>();
    for (const [host, found] of evidence) {
        const credible = !isContradicted(host, evidence);
        for (const [target, finding] of found) {
            probing.set(target, (probing.get(target) ?? 0) + 1);
            if (finding === findings.answering) {
                answering.add(target);
            }
            else if (credible) {
                failing.set(target, (failing.get(target) ?? 0) + 1);
            }
        }
    }
    const lost: string[] = [];
    for (const [target, count] of failing) {
        const all = probing.get(target) ?? 0;
        if (count * 2 > all && (count >= 2 || (all === 1 && !answering.has(target)))) {
            lost.push(target);
        }
    }
    return lost;
};

/** Hosts that one host has heard lately, as it tells the others. */
export type HeardHosts = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Whether a host is lost: this host does not hear it, and neither do more than half of the hosts that this host hears.
 * `heardByOthers` holds what those hosts say. A host that hears nobody can not tell and says no.
 */
export const isHostLost = (host: string, heardHere: ReadonlySet<string>, heardByOthers: HeardHosts): boolean => {
    if (heardHere.has(host) || heardHere.size === 0) {
        return false;
    }
    let hearing = 0;
    let asked = 0;
    for (const [other, heard] of heardByOthers) {
        if (other !== host && heardHere.has(other)) {
            asked += 1;
            hearing += heard.has(host) ? 1 : 0;
        }
    }
    return asked > 0 && hearing * 2 <= asked;
};

export type HoldDownOptions = {
    firstMilliseconds: number;
    maxMilliseconds: number;
    /** Time without a loss after which the delay starts anew. */
    forgetMilliseconds: number;
};

export const defaultHoldDownOptions: HoldDownOptions = {
    firstMilliseconds: 1_000,
    maxMilliseconds: 60_000,
    forgetMilliseconds: 300_000,
};

export type HoldDown = {
    /** Notes that the target was judged lost. */
    noteLoss: (target: string, now: number) => void;
    /** Notes that the target still is lost, so that the delay begins when it answers again. */
    noteStillLost: (target: string, now: number) => void;
    /** Whether the target must stay without slots though it answers. */
    isHeld: (target: string, now: number) => boolean;
    /** When the hold ends; undefined when the target was never lost. */
    heldUntil: (target: string) => number | undefined;
};

/** Keeps targets that were lost without slots for a time that doubles with each loss. */
export const createHoldDown = (options: HoldDownOptions): HoldDown => {
    const held = new Map<string, { until: number; delay: number; lostAt: number }>();
    return {
        noteLoss: (target, now) => {
            const known = held.get(target);
            const recent = known !== undefined && now - known.lostAt < options.forgetMilliseconds;
            const delay = recent ? Math.min(options.maxMilliseconds, known.delay * 2) : options.firstMilliseconds;
            held.set(target, { until: now + delay, delay, lostAt: now });
        },
        noteStillLost: (target, now) => {
            const known = held.get(target);
            if (known !== undefined) {
                known.until = now + known.delay;
            }
        },
        isHeld: (target, now) => now < (held.get(target)?.until ?? -Infinity),
        heldUntil: target => held.get(target)?.until,
    };
};
