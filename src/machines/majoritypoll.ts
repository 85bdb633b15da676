/**
 * The majority poll. While no answer of the platform extends the time for which this host may admit requests, it asks
 * the other hosts, and a majority of answers extends that time instead. Any two majorities share a host, so a newer
 * object that a majority holds can not be missed.
 */
import type { Isolation } from "../decisions/isolation.ts";
import type { HostLinks } from "../links/hosts.ts";
import { keepRunning, type LongTaskOptions } from "./longtasks.ts";
import type { Replica } from "./replica.ts";

export type MajorityPollOptions = {
    self: string;
    replica: Replica;
    isolation: Isolation;
    links: HostLinks;
    /** Names of the hosts among which the majority is counted. */
    hosts: () => string[];
    isolationMilliseconds: number;
} & LongTaskOptions;

const roundsPerIsolationTime = 8;

/** Starts the poll. It runs until the signal aborts. */
export const startMajorityPoll = (options: MajorityPollOptions): void => {
    const { self, replica, isolation, links, clock, signal, isolationMilliseconds } = options;
    const roundMilliseconds = isolationMilliseconds / roundsPerIsolationTime;

    /** Asks one host for newer objects, and records its answer if this host then holds all that the other one does. */
    const askHost = async (host: string): Promise<void> => {
        const after = replica.position();
        const sentAt = clock.now();
        const answer = await links.ask(host, { kind: "objects-question", after }, roundMilliseconds);
        if (answer?.kind === "objects-answer" && replica.applyAnswer(answer, after, sentAt)) {
            isolation.noteAnswer(host, sentAt);
        }
    };

    /** Polls all hosts, unless the admission of this host lasts for more than half of the isolation time. */
    const poll = async (): Promise<void> => {
        const hosts = options.hosts();
        if (!hosts.includes(self) || isolation.remaining(clock.now()) > isolationMilliseconds / 2) {
            return;
        }
        await Promise.all(hosts.filter(host => host !== self).map(askHost));
        isolation.extendByMajority(hosts, self, clock.now());
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await poll();
            await clock.sleep(roundMilliseconds, signal);
        }
    };

    void keepRunning("majority-poll", run, options);
};
