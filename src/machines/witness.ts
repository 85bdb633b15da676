/**
 * The witness answers other hosts' questions whether a revision is current, and vouches for what it has read while the
 * platform can not be reached. It also takes the assignments that a coordinator hands out, and acknowledges them.
 */
import { type Assignment, assignmentSchema } from "../contracts/assignment.ts";
import type { Clock } from "../contracts/clock.ts";
import type { StoredObject } from "../contracts/objects.ts";
import type { AssignmentAcknowledgement } from "../contracts/ownershipmessages.ts";
import {
    acknowledgeRevision,
    answerOf,
    confirmByHost,
    confirmByWitnesses,
    type Currency,
} from "../decisions/currency.ts";
import { mayReportFinished, type MoveTiming } from "../decisions/move.ts";
import { vouchesFor } from "../decisions/witness.ts";
import type { ObjectView } from "./objects.ts";
import type { Peers } from "./peers.ts";

export type WitnessOptions = {
    host: string;
    objects: ObjectView;
    /** Requests for owned keys of the pool that were sent under a revision below the one given and are not over. */
    unfinishedBelow: (pool: string, revision: number) => number;
    timing: Pick<MoveTiming, "longestDeadlineMilliseconds">;
    revisionTracker: Currency;
    peers: Peers;
    freshnessMilliseconds: number;
    /** Called when this host may act on a new assignment of the pool. */
    onAssignmentAccepted: (pool: string) => void;
    clock: Clock;
    signal: AbortSignal;
};

/** Share of `freshness` without an answer of the platform after which it counts as out of reach. */
const unreachableShare = 0.6;
/** Share of `freshness` below which what is left is extended by asking other hosts. */
const lowShare = 0.5;
const roundsPerFreshness = 10;
const askShare = 0.25;

/** Starts to answer, and to ask where this host's own right to act runs low, until the signal aborts. */
export const startWitness = (options: WitnessOptions): void => {
    const { objects, revisionTracker: currency, peers, clock, signal, freshnessMilliseconds } = options;
    const startedAt = clock.now();
    const asking = new Set<string>();

    const isPlatformReachable = (pool: string): boolean => {
        const { readAt } = currency.record(pool);
        return readAt !== undefined && clock.now() - readAt < freshnessMilliseconds * unreachableShare;
    };

    peers.handle("currency-question", (...[, question]) => {
        const record = currency.record(question.pool);
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

    /** Asks one host. Tells whether it vouched. */
    const askHost = async (host: string, pool: string, revision: number): Promise<boolean> => {
        const sentAt = clock.now();
        const question = { kind: "currency-question", pool, revision } as const;
        const answer = await peers.ask(host, question, freshnessMilliseconds * askShare);
        if (answer?.kind !== "currency-answer" || answer.pool !== pool) {
            return false;
        }
        const { remainingMilliseconds, readAgeMilliseconds } = answer;
        if (host !== options.host) {
            currency.update(pool, record =>
                confirmByHost(
                    record,
                    { revision: answer.revision, remainingMilliseconds, readAgeMilliseconds },
                    sentAt,
                    startedAt,
                ));
        }
        return answer.vouches && answer.revision === revision;
    };

    /** Asks all witnesses of the revision: one that is current passes its right on, a majority may vouch. */
    const askWitnesses = async (pool: string, revision: number, witnesses: string[]): Promise<void> => {
        const sentAt = clock.now();
        const vouchers: string[] = [];
        const confirm = async (host: string): Promise<void> => {
            if (await askHost(host, pool, revision)) {
                vouchers.push(host);
                currency.update(
                    pool,
                    record => confirmByWitnesses(record, revision, vouchers, witnesses, sentAt, freshnessMilliseconds),
                );
            }
        };
        await Promise.all(witnesses.map(confirm));
    };

    const refresh = async (pool: string): Promise<void> => {
        const assignment = objects.get("assignments", pool)?.value;
        if (assignment === undefined || asking.has(pool)) {
            return;
        }
        asking.add(pool);
        await askWitnesses(pool, assignment.revision, assignment.witnesses);
        asking.delete(pool);
    };

    /** The revision below which all requests of this host have ended, as far as an unfinished move asks for it. */
    const finishedBelow = (pool: string, assignment: Assignment): number => {
        const revisions = [...assignment.moves.map(move => move.since), assignment.revision];
        const ended = revisions.filter(revision =>
            mayReportFinished(options.unfinishedBelow(pool, revision), startedAt, clock.now(), options.timing)
        );
        return Math.max(0, ...ended);
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
     * Takes an assignment that a coordinator hands out. It asks first whether the revision is current, so that there is
     * no moment between the old revision and the right to act on the new one.
     */
    const takeOffer = async (from: string, item: StoredObject): Promise<AssignmentAcknowledgement> => {
        const pool = item.name;
        const parsed = assignmentSchema.safeParse(item.value);
        const isNewer = parsed.success && parsed.data.revision > currency.record(pool).revision;
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
        (from, { item }) => item.kind === "assignments" ? takeOffer(from, item) : undefined,
    );

    objects.onChange("assignments", pool => {
        const revision = objects.get("assignments", pool)?.value.revision ?? 0;
        currency.update(pool, record => acknowledgeRevision(record, revision));
    });

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            for (const { name, value } of objects.list("assignments")) {
                const left = currency.remaining(name, value.revision, clock.now());
                if (left < freshnessMilliseconds * lowShare) {
                    void refresh(name);
                }
            }
            await clock.sleep(freshnessMilliseconds / roundsPerFreshness, signal);
        }
    };

    void run();
};
