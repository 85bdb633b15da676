/**
 * Removes the registrations of hosts that are gone for good. One host, which coordinates key ranges, asks the others in turn
 * whether they are there. Of one that is silent it asks all hosts that gossip reaches: the host tells that it is there if
 * any of them has a link to it. A wrong removal does no harm: the host that it hits writes its registration again at once,
 * and no further one is removed for long.
 */
import { z } from "zod";
import type { Clock } from "../../contracts/clock.ts";
import { messageOf } from "../../contracts/errors.ts";
import { eraOf } from "../../contracts/storehistory.ts";
import { createHostSilence } from "../../decisions/hostsilence.ts";
import type { Log } from "../../links/logs.ts";
import type { Metrics } from "../../links/metrics.ts";
import type { PeerDialer, PeerService } from "../../links/peers.ts";
import { repeatTask } from "../longtasks.ts";
import type { Gossip } from "./gossip.ts";
import type { Processes, Registration } from "./processes.ts";

export type GoneHostsOptions = {
    /** Name of this host. */
    self: string;
    processes: Pick<Processes, "others" | "remove">;
    /** Whether it is for this host to remove registrations. */
    isResponsible: () => boolean;
    gossip: Pick<Gossip, "put" | "onChange">;
    dial: PeerDialer;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    signal: AbortSignal;
};

/** Path at which a host tells its name. */
export const presencePath = "/presence";
/** Kinds of gossip: whether anybody reaches a host, and that it is there. */
export const absentGossipKind = "absent";
export const absentGossipSchema = z.int();
export const presentGossipKind = "present";
export const presentGossipSchema = z.boolean();

const presenceSchema = z.object({ host: z.string() });

const stepMilliseconds = 1_000;
/** Time given to a host to tell its name on an open connection. */
const answerMilliseconds = 2_000;
/** A connection on which the name was told is closed by the other end, at the latest after this. */
const keptMilliseconds = 5_000;
const gossipLifetimeMilliseconds = 90_000;
/** Pause between removals, in which a host that was removed wrongly writes its registration again. */
const removalPauseMilliseconds = 60_000;
/** Time without removals after a wrong one. */
const restMilliseconds = 3_600_000;

/** Starts to look for hosts that are gone, and to answer others that do. */
export const createGoneHosts = (options: GoneHostsOptions): { service: PeerService } => {
    const { self, processes, gossip, dial, clock, log, metrics, signal } = options;
    let silence = createHostSilence();
    let nextRemovalAt = -Infinity;
    let removed: Registration | undefined;

    gossip.onChange(absentGossipKind, name => {
        if (name === self) {
            gossip.put(presentGossipKind, self, true, gossipLifetimeMilliseconds);
        }
    });
    gossip.onChange(presentGossipKind, name => silence.recordHeard(name, clock.now()));

    /**
     * Resolves to whether the host is there. One of a version that does not tell its name counts as there. Rejects when the
     * address is none.
     */
    const ask = ({ name, address }: Registration): Promise<boolean> =>
        new Promise(resolve => {
            let isOpen = false;
            const finish = (isThere: boolean): void => {
                cancel();
                resolve(isThere);
                connection.close();
            };
            const connection = dial(address, presencePath, {
                onOpen: () => {
                    isOpen = true;
                },
                onFrame: value => {
                    const told = presenceSchema.safeParse(value);
                    finish(!told.success || told.data.host === name);
                    return told.success;
                },
                onClose: () => finish(isOpen),
            });
            const cancel = clock.after(answerMilliseconds, () => finish(isOpen));
        });

    /** Whether the process whose registration was removed last has written it again. In a new era, a copy has. */
    const wasWrong = (others: readonly Registration[]): boolean =>
        others.some(({ name, process, revision }) =>
            name === removed?.name && process === removed.process && revision !== removed.revision
            && eraOf(revision) === eraOf(removed.revision)
        );

    const remove = async (registration: Registration): Promise<void> => {
        const { name, process, revision } = registration;
        nextRemovalAt = clock.now() + removalPauseMilliseconds;
        const silent = silence.silence(name, clock.now());
        try {
            const isGone = await processes.remove(registration);
            removed = isGone ? registration : undefined;
            metrics.count("host-removals", { result: isGone ? "removed" : "changed" });
            log.info("host-removed", { gone: name, process, revision, isGone, ...silent });
        }
        catch (error) {
            // The store may have carried it out.
            removed = registration;
            log.warn("host-removal-failed", { gone: name, process, revision, error: messageOf(error) });
        }
    };

    const step = async (): Promise<void> => {
        if (!options.isResponsible()) {
            // What was seen before a pause says nothing of the time since.
            silence = createHostSilence();
            removed = undefined;
            return;
        }
        const others = processes.others().filter(({ address }) => address !== "");
        if (removed !== undefined && wasWrong(others)) {
            log.warn("host-removed-wrongly", { host: removed.name, process: removed.process });
            nextRemovalAt = clock.now() + restMilliseconds;
            removed = undefined;
        }
        const name = silence.due(others, clock.now());
        const host = others.find(other => other.name === name);
        if (host === undefined) {
            return;
        }
        if (await ask(host).catch(() => false)) {
            silence.recordHeard(host.name, clock.now());
            return;
        }
        silence.recordSilent(host.name, host.revision, clock.now());
        const mayRemove = options.isResponsible() && clock.now() >= nextRemovalAt;
        if (mayRemove && silence.isGone(host.name, clock.now())) {
            await remove(host);
        }
        else if (silence.mayBeGone(host.name)) {
            gossip.put(absentGossipKind, host.name, host.revision, gossipLifetimeMilliseconds);
        }
    };
    void repeatTask("gone-hosts", () => stepMilliseconds, step, { clock, log, metrics, signal });

    return {
        service: connection => {
            connection.send({ host: self });
            const cancel = clock.after(keptMilliseconds, connection.close, signal);
            return { onFrame: () => false, onClose: cancel };
        },
    };
};
