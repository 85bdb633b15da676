/**
 * Loans of connections to targets between hosts: a host whose requests wait for a connection asks others, a few at a time,
 * for what they do not use of their parts.
 */
import type { Clock } from "../../contracts/clock.ts";
import {
    type BorrowerMessage,
    borrowerMessageSchema,
    type LenderMessage,
    lenderMessageSchema,
    loansPath,
} from "../../contracts/loanmessages.ts";
import { lentMilliseconds, loanMilliseconds } from "../../decisions/partlending.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerConnection, PeerDialer, PeerService } from "../../links/peers.ts";
import type { ReaderCandidate } from "../../zones/readers.ts";
import { forEachAlone, keepRunning } from "../longtasks.ts";

export type Loans = {
    /** Records that a request waits for a connection to the target. */
    want: (target: string) => void;
    /** Returns the connections that this host has lent of its part. */
    lent: (target: string) => number;
    /** Returns the borrowed connections that a request may use that ends at the monotonic time. */
    borrowed: (target: string, endAt: number) => number;
    /** Lends to other hosts. */
    service: PeerService;
};

export type LoansOptions = {
    /** Returns the other hosts. */
    others: () => ReaderCandidate[];
    /** Returns how many of the connections asked for this host lends. */
    grant: (target: string, asked: number) => number;
    /** Whether this host's requests at the target need no more than its part. */
    isWithinPart: (target: string) => boolean;
    /** Called when the connections that this host may use at the target have changed. */
    onChange: (target: string) => void;
    dial: PeerDialer;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    random: () => number;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Interval at which hosts are asked for a target for which requests wait. */
const askMilliseconds = 100;
/** Hosts that are asked at a time. */
const maxAsked = 3;
/** Connections that one host is asked for. */
const askedConnections = 4;
/** A host that refused is not asked again for the target for this time. */
const refusedMilliseconds = 1_000;
/** What is lent later than this after the ask goes back: it comes from a host that could not be reached. */
const staleMilliseconds = 1_000;
/** What is borrowed goes back when it was not needed for this time. */
const unusedMilliseconds = 1_000;
/** A connection to a lender closes after this time without an ask. */
const idleMilliseconds = 10_000;

type Loan = { connections: number; until: number };
type Ask = { name: string; target: string; askedAt: number };
type Lender = {
    connection: PeerConnection;
    /** What is sent once the connection is open. */
    pending: BorrowerMessage[];
    askedAt: number;
    asks: Map<number, Ask>;
    loans: Map<number, Loan & { target: string }>;
};

/** Starts to borrow and lend. */
export const createLoans = (options: LoansOptions): Loans => {
    const { clock, signal, random, metrics } = options;
    /** Targets for which requests waited since hosts were asked last. */
    const wanted = new Set<string>();
    /** Monotonic time at which requests last needed more than the part. */
    const neededAt = new Map<string, number>();
    const refusedUntil = new Map<string, number>();
    const lenders = new Map<string, Lender>();
    const lentLoans = new Map<string, Set<Loan>>();
    let lastId = 0;

    const send = ({ connection, pending }: Lender, message: BorrowerMessage): void => {
        if (connection.isOpen()) {
            connection.send(message);
            return;
        }
        pending.push(message);
    };

    const receive = (lender: Lender, { id, connections }: LenderMessage): void => {
        const ask = lender.asks.get(id);
        lender.asks.delete(id);
        metrics.count("loans", { result: connections > 0 ? "lent" : "refused" });
        if (connections === 0) {
            return;
        }
        if (ask === undefined || clock.now() - ask.askedAt > staleMilliseconds) {
            send(lender, { kind: "back", ids: [id] });
            return;
        }
        const { name, target, askedAt } = ask;
        const until = askedAt + loanMilliseconds;
        refusedUntil.delete(`${name} ${target}`);
        neededAt.set(target, clock.now());
        lender.loans.set(id, { target, connections, until });
        clock.after(until - clock.now(), () => lender.loans.delete(id) && options.onChange(target), signal);
        options.onChange(target);
    };

    const connect = ({ name, address }: ReaderCandidate): Lender => {
        const connection = options.dial(address, loansPath, {
            onOpen: () => lender.pending.splice(0).forEach(message => connection.send(message)),
            onFrame: value => {
                const parsed = lenderMessageSchema.safeParse(value);
                if (parsed.success) {
                    receive(lender, parsed.data);
                }
                return parsed.success;
            },
            onClose: () => {
                if (lenders.get(name) === lender) {
                    lenders.delete(name);
                }
            },
        });
        const lender: Lender = { connection, pending: [], askedAt: clock.now(), asks: new Map(), loans: new Map() };
        lenders.set(name, lender);
        return lender;
    };

    const ask = (target: string): void => {
        const now = clock.now();
        const hosts = options.others().filter(({ name }) => (refusedUntil.get(`${name} ${target}`) ?? 0) <= now);
        for (let count = 0; count < maxAsked && hosts.length > 0; count += 1) {
            const [host] = hosts.splice(Math.floor(random() * hosts.length), 1);
            // Counts as refused until it is answered.
            refusedUntil.set(`${host.name} ${target}`, now + refusedMilliseconds);
            const lender = lenders.get(host.name) ?? connect(host);
            lender.askedAt = now;
            lastId += 1;
            lender.asks.set(lastId, { name: host.name, target, askedAt: now });
            send(lender, { kind: "ask", id: lastId, target, connections: askedConnections });
        }
    };

    const forgetRefusals = (): void =>
        refusedUntil.forEach((until, key) => until <= clock.now() && refusedUntil.delete(key));

    const giveBack = (): void => {
        const now = clock.now();
        const isUnused = (target: string): boolean => now - (neededAt.get(target) ?? now) >= unusedMilliseconds;
        lenders.forEach((lender, name) => {
            lender.asks.forEach(({ askedAt }, id) => now - askedAt > staleMilliseconds && lender.asks.delete(id));
            const unused = [...lender.loans].filter(([, { target }]) => isUnused(target));
            if (unused.length > 0) {
                unused.forEach(([id]) => lender.loans.delete(id));
                unused.forEach(([, { target }]) => options.onChange(target));
                send(lender, { kind: "back", ids: unused.map(([id]) => id) });
            }
            if (now - lender.askedAt >= idleMilliseconds) {
                lenders.delete(name);
                lender.connection.close();
            }
        });
    };

    const recordNeeds = (): void => {
        const targets = new Set(
            [...lenders.values()].flatMap(({ loans }) => [...loans.values()].map(({ target }) => target)),
        );
        for (const target of targets) {
            if (!options.isWithinPart(target)) {
                neededAt.set(target, clock.now());
            }
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(askMilliseconds, signal);
            forgetRefusals();
            const targets = [...wanted];
            wanted.clear();
            forEachAlone("loans", targets, ask, options);
            recordNeeds();
            giveBack();
        }
    };
    void keepRunning("loans", run, options);

    const service: PeerService = connection => {
        const granted = new Map<number, { target: string; loan: Loan }>();
        const end = (id: number): void => {
            const known = granted.get(id);
            granted.delete(id);
            if (known !== undefined) {
                lentLoans.get(known.target)?.delete(known.loan);
                options.onChange(known.target);
            }
        };
        const lend = (id: number, target: string, asked: number): void => {
            const connections = granted.has(id) ? 0 : options.grant(target, asked);
            if (connections > 0) {
                const loan = { connections, until: clock.now() + lentMilliseconds };
                granted.set(id, { target, loan });
                lentLoans.set(target, (lentLoans.get(target) ?? new Set()).add(loan));
                clock.after(lentMilliseconds, () => end(id), signal);
                options.onChange(target);
            }
            const answer: LenderMessage = { kind: "lent", id, connections };
            connection.send(answer);
        };
        return {
            onFrame: value => {
                const { data } = borrowerMessageSchema.safeParse(value);
                if (data?.kind === "ask") {
                    lend(data.id, data.target, data.connections);
                }
                if (data?.kind === "back") {
                    data.ids.forEach(end);
                }
                return data !== undefined;
            },
            // The borrower may use what was lent until it runs out.
            onClose: () => undefined,
        };
    };

    return {
        want: target => wanted.add(target),
        lent: target => {
            let sum = 0;
            lentLoans.get(target)?.forEach(({ connections }) => {
                sum += connections;
            });
            return sum;
        },
        borrowed: (target, endAt) => {
            let sum = 0;
            lenders.forEach(({ loans }) =>
                loans.forEach(loan => {
                    sum += loan.target === target && loan.until >= endAt ? loan.connections : 0;
                })
            );
            return sum;
        },
        service,
    };
};
