/**
 * The witness answers other hosts' questions about whether a revision is current, and vouches for the revision that it
 * has read while the platform can not be reached. It also accepts the assignments that a coordinator offers and
 * acknowledges them.
 */
import { type Assignment, assignmentSchema } from "../contracts/assignment.ts";
import type { StoredObject } from "../contracts/objects.ts";
import type { AssignmentAcknowledgement } from "../contracts/ownershipmessages.ts";
import { mayReportFinished, type MoveTiming } from "../decisions/move.ts";
import {
    acknowledgeRevision,
    answerOf,
    confirmByHost,
    confirmByWitnesses,
    type RevisionTracker,
} from "../decisions/revisiontracker.ts";
import { vouchesFor } from "../decisions/witness.ts";
import { forEachAlone, keepRunning, type LongTaskOptions, runAlone } from "./longtasks.ts";
import type { ObjectView } from "./objects.ts";
import type { Peers } from "./peers.ts";

export type WitnessOptions = {
    host: string;
    objects: ObjectView;
    /** Number of unfinished requests for owned keys of the pool that were sent under a revision below `revision`. */
    unfinishedBelow: (pool: string, revision: number) => number;
    timing: Pick<MoveTiming, "longestDeadlineMilliseconds">;
    revisionTracker: RevisionTracker;
    peers: Peers;
    freshnessMilliseconds: number;
    /** Called after a newer assignment of the pool has been accepted. */
    onAssignmentAccepted: (pool: string) => void;
} & LongTaskOptions;

/** Share of the freshness time without an answer after which the platform counts as unreachable. */
const unreachableShare = 0.6;
/** When less than this share of the freshness time is left, the host asks the witnesses to extend it. */
const lowShare = 0.5;
const roundsPerFreshnessTime = 10;
/** Timeout of a question to another host, as a share of the freshness time. */
const askTimeoutShare = 0.25;

/**
 * Starts to answer questions, and to ask for revisions that this host may soon no longer act on, until the signal
 * aborts.
 */
export const startWitness = (options: WitnessOptions): void => {
    const { objects, revisionTracker, peers, clock, signal, freshnessMilliseconds } = options;
    const startedAt = clock.now();
    const asking = new Set<string>();

    const isPlatformReachable = (pool: string): boolean => {
        const { platformReadAt: readAt } = revisionTracker.record(pool);
        return readAt !== undefined && clock.now() - readAt < freshnessMilliseconds * unreachableShare;
    };

    peers.handle("currency-question", (...[, question]) => {
        const record = revisionTracker.record(question.pool);
        const answer = answerOf(record, clock.now());
        return {
            kind: "currency-answer",
            pool: question.pool,
            revision: answer.revision,
            remainingMilliseconds: answer.remainingMilliseconds,
            ...(answer.readAgeMilliseconds === undefined ? {} : { readAgeMilliseconds: answer.readAgeMilliseconds }),
            vouches: vouchesFor(record, question.revision, isPlatformReachable(question.pool)),
        };
    });

    /** Asks one host whether the revision is current, and records its answer. True if it vouches for the revision. */
    const askHost = async (host: string, pool: string, revision: number): Promise<boolean> => {
        const sentAt = clock.now();
        const question = { kind: "currency-question", pool, revision } as const;
        const answer = await peers.ask(host, question, freshnessMilliseconds * askTimeoutShare);
        if (answer?.kind !== "currency-answer" || answer.pool !== pool) {
            return false;
        }
        const { remainingMilliseconds, readAgeMilliseconds } = answer;
        if (host !== options.host) {
            revisionTracker.update(pool, record =>
                confirmByHost(
                    record,
                    { revision: answer.revision, remainingMilliseconds, readAgeMilliseconds },
                    sentAt,
                    startedAt,
                ));
        }
        return answer.vouches && answer.revision === revision;
    };

    /**
     * Asks all witnesses of the revision. A witness for which it is current passes on its remaining time, and a
     * majority that vouches confirms it.
     */
    const askWitnesses = async (pool: string, revision: number, witnesses: string[]): Promise<void> => {
        const sentAt = clock.now();
        const vouchers: string[] = [];
        const confirm = async (host: string): Promise<void> => {
            if (await askHost(host, pool, revision)) {
                vouchers.push(host);
                revisionTracker.update(
                    pool,
                    record => confirmByWitnesses(record, revision, vouchers, witnesses, sentAt, freshnessMilliseconds),
                );
            }
        };
        await Promise.all(witnesses.map(confirm));
    };

    /** Asks the witnesses of the pool's revision, unless a question to them is open already. */
    const refresh = async (pool: string): Promise<void> => {
        const assignment = objects.get("assignments", pool)?.value;
        if (assignment === undefined || asking.has(pool)) {
            return;
        }
        asking.add(pool);
        await askWitnesses(pool, assignment.revision, assignment.witnesses).finally(() => asking.delete(pool));
    };

    /**
     * The highest revision of an unfinished move, or of the assignment, below which all requests of this host have
     * ended.
     */
    const finishedBelow = (pool: string, assignment: Assignment): number => {
        const revisions = [...assignment.moves.map(move => move.since), assignment.revision];
        const finished = revisions.filter(revision =>
            mayReportFinished(options.unfinishedBelow(pool, revision), startedAt, clock.now(), options.timing)
        );
        return Math.max(0, ...finished);
    };

    const acknowledgementOf = (pool: string): AssignmentAcknowledgement => {
        const assignment = objects.get("assignments", pool)?.value;
        return {
            kind: "assignment-acknowledgement",
            pool,
            revision: assignment?.revision ?? 0,
            finishedBelow: assignment === undefined ? 0 : finishedBelow(pool, assignment),
        };
    };

    /**
     * Accepts an assignment that a coordinator offers. It asks first whether the new revision is current, so that this
     * host may act on it as soon as it replaces the old one.
     */
    const acceptOffer = async (from: string, item: StoredObject): Promise<AssignmentAcknowledgement> => {
        const pool = item.name;
        const parsed = assignmentSchema.safeParse(item.value);
        const isNewer = parsed.success && parsed.data.revision > revisionTracker.record(pool).revision;
        if (isNewer && from !== options.host) {
            await askHost(from, pool, parsed.data.revision);
        }
        if (objects.accept(item)) {
            options.onAssignmentAccepted(pool);
        }
        return acknowledgementOf(pool);
    };

    peers.handle(
        "assignment-offer",
        (from, { item }) => item.kind === "assignments" ? acceptOffer(from, item) : undefined,
    );

    objects.onChange("assignments", pool => {
        const revision = objects.get("assignments", pool)?.value.revision ?? 0;
        revisionTracker.update(pool, record => acknowledgeRevision(record, revision));
    });

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            forEachAlone("witness", objects.list("assignments"), ({ name, value }) => {
                const remainingMilliseconds = revisionTracker.remaining(name, value.revision, clock.now());
                if (remainingMilliseconds < freshnessMilliseconds * lowShare) {
                    void runAlone("witness", () => refresh(name), options);
                }
            }, options);
            await clock.sleep(freshnessMilliseconds / roundsPerFreshnessTime, signal);
        }
    };

    void keepRunning("witness", run, options);
};
