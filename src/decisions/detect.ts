/**
 * Detects lost targets and lost hosts. The view of one host does not suffice where other hosts have a view too: a
 * target is lost when most of the hosts that probe it find it failing, and a host whose findings the others contradict
 * does not count.
 */

/** State of a target according to the probes of one host. */
export const probeFindings = { answering: "answering", silent: "silent", refusing: "refusing" } as const;
export type ProbeFinding = (typeof probeFindings)[keyof typeof probeFindings];

/**
 * What a host knows of a target that it probes, updated by the renewer. Times are the host's monotonic milliseconds.
 */
export type ProbeRecord = {
    /** When the oldest unanswered question was sent; undefined when all are answered. */
    unansweredSince: number | undefined;
    /** Number of refused or broken connections since the last answer. */
    failures: number;
    /** Smoothed time from question to answer. */
    answerMilliseconds: number;
};

export type ProbeOptions = {
    /** Time without an answer after which a target that usually answers at once is found silent. */
    silenceMilliseconds: number;
    /**
     * The time without an answer must also reach this multiple of the usual time to answer, so that a slow target is
     * not found lost.
     */
    slowFactor: number;
    /** Upper bound of the time without an answer, however slow the target is. */
    maxSilenceMilliseconds: number;
    /** Number of consecutive failures from which a target is found refusing. */
    failures: number;
};

export const defaultProbeOptions: ProbeOptions = {
    silenceMilliseconds: 180,
    slowFactor: 4,
    maxSilenceMilliseconds: 2_000,
    failures: 2,
};

/** Returns the time without an answer after which a target with this usual time to answer is found silent. */
export const silenceLimit = (answerMilliseconds: number, options: ProbeOptions): number =>
    Math.min(
        options.maxSilenceMilliseconds,
        Math.max(options.silenceMilliseconds, answerMilliseconds * options.slowFactor),
    );

/** Returns the state in which a host finds a target now. */
export const findingOf = (record: ProbeRecord, now: number, options: ProbeOptions): ProbeFinding => {
    if (record.failures >= options.failures) {
        return probeFindings.refusing;
    }
    const silence = record.unansweredSince === undefined ? 0 : now - record.unansweredSince;
    return silence >= silenceLimit(record.answerMilliseconds, options) ? probeFindings.silent : probeFindings.answering;
};

/** Findings of each probing host, by host and then by target. */
export type Evidence = ReadonlyMap<string, ReadonlyMap<string, ProbeFinding>>;

/** A target that refuses connections counts as failing like one that is silent. */
const isFailing = (finding: ProbeFinding | undefined): boolean =>
    finding === probeFindings.silent || finding === probeFindings.refusing;

/**
 * Returns whether other hosts contradict at least half of the failures that the host finds. One failure is not enough.
 */
const isContradicted = (host: string, evidence: Evidence): boolean => {
    let failing = 0;
    let contradicted = 0;
    for (const [target, finding] of evidence.get(host) ?? []) {
        if (!isFailing(finding)) {
            continue;
        }
        failing += 1;
        for (const [other, found] of evidence) {
            if (other !== host && found.get(target) === probeFindings.answering) {
                contradicted += 1;
                break;
            }
        }
    }
    return failing >= 2 && contradicted * 2 >= failing;
};

/**
 * Returns the targets that are lost according to the evidence. A target is lost when more than half of the hosts that
 * probe it are credible and find it failing, and when these are at least two hosts or the only one that probes it.
 */
export const lostTargets = (evidence: Evidence): string[] => {
    const failing = new Map<string, number>();
    const probing = new Map<string, number>();
    const answering = new Set<string>();
    for (const [host, found] of evidence) {
        const credible = !isContradicted(host, evidence);
        for (const [target, finding] of found) {
            probing.set(target, (probing.get(target) ?? 0) + 1);
            if (finding === probeFindings.answering) {
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

/** For each host, the hosts whose heartbeats it has received recently, as it reports to the others. */
export type HeardHosts = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Returns whether a host is lost: this host receives no heartbeats from it, and neither do at least half of the hosts
 * that this host hears. A host that hears no other host can not tell, and returns false.
 *
 * @param heardHere hosts whose heartbeats this host receives.
 * @param heardByOthers hosts whose heartbeats each other host reports to receive.
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
    /** Delay after the first loss. */
    firstMilliseconds: number;
    /** Longest delay. */
    maxMilliseconds: number;
    /** Time without a loss after which the delay starts again at `firstMilliseconds`. */
    forgetMilliseconds: number;
};

export const defaultHoldDownOptions: HoldDownOptions = {
    firstMilliseconds: 1_000,
    maxMilliseconds: 60_000,
    forgetMilliseconds: 300_000,
};

export type HoldDown = {
    /** Records that the target was found lost. */
    noteLoss: (target: string, now: number) => void;
    /** Records that the target is still lost, so that the delay begins only when it answers again. */
    noteStillLost: (target: string, now: number) => void;
    /** Returns whether the target must stay without slots although it answers. */
    isHeld: (target: string, now: number) => boolean;
    /** Returns when the hold-down ends; undefined when the target was never lost. */
    heldUntil: (target: string) => number | undefined;
};

/**
 * Creates a hold-down, which keeps targets that were lost without slots for a time. The time doubles with each further
 * loss, up to a maximum.
 */
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
