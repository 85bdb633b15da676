/**
 * While no answer of the platform extends the host's admission, this task asks a majority of the hosts instead. Two
 * majorities share a host, so a newer object that a majority holds can not be missed.
 */
import type { Clock } from "../contracts/clock.ts";
import type { Isolation } from "../decisions/isolation.ts";
import type { HostLinks } from "../links/hosts.ts";
import type { Replica } from "./replica.ts";

export type MajorityPollOptions = {
    self: string;
    replica: Replica;
    isolation: Isolation;
    links: HostLinks;
    /** Names of the hosts of which a majority counts. */
    hosts: () => string[];
    isolationMilliseconds: number;
    clock: Clock;
    signal: AbortSignal;
};

const roundsPerIsolation = 8;

/** Starts the task until the signal aborts. */
export const startMajorityPoll = (options: MajorityPollOptions): void => {
    const { self, replica, isolation, links, clock, signal, isolationMilliseconds } = options;
    const roundMilliseconds = isolationMilliseconds / roundsPerIsolation;

    const hear = async (host: string): Promise<void> => {
        const after = replica.position();
        const sentAt = clock.now();
        const answer = await links.ask(host, { kind: "objects-question", after }, roundMilliseconds);
        if (answer?.kind === "objects-answer" && replica.applyAnswer(answer, after, sentAt)) {
            isolation.hear(host, sentAt);
        }
    };

    const round = async (): Promise<void> => {
        const hosts = options.hosts();
        if (!hosts.includes(self) || isolation.remaining(clock.now()) > isolationMilliseconds / 2) {
            return;
        }
        await Promise.all(hosts.filter(host => host !== self).map(hear));
        isolation.countMajority(hosts, self, clock.now());
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await round();
            await clock.sleep(roundMilliseconds, signal);
        }
    };

    void run();
};
