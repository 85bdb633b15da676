/**
 * The targets as this host sees them: their load, their failures, the connections to them.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { RegisteredTarget, TablePool } from "../../contracts/routing.ts";
import { createTargetLoad, type TargetLoad } from "../../decisions/targetload.ts";
import { createExchangeLink, type ExchangeLink } from "../../links/exchange.ts";
import type { TargetRegistry } from "./targetregistry.ts";

export type TargetState = {
    target: RegisteredTarget;
    load: TargetLoad;
    link: ExchangeLink;
    /** Part of recent requests that the target failed, from 0 to 1. */
    failureShare: number;
    /** Nothing is sent before this time. */
    blockedUntil: number;
    /** Failures to connect in a row. */
    connectFailures: number;
    /** Until this time the target is slow after its start. */
    warmupEndsAt: number;
    gone: boolean;
};

export type TargetStates = {
    ofPool: (pool: string) => TargetState[];
    get: (name: string) => TargetState | undefined;
    recordFailure: (view: TargetState) => void;
    recordSuccess: (view: TargetState) => void;
    /** No connection could be made: leaves the target alone, for longer each time. */
    recordConnectFailure: (view: TargetState) => void;
    /** Nothing is sent to the target for the time given. */
    block: (view: TargetState, milliseconds: number) => void;
};

export type TargetStatesOptions = {
    registry: TargetRegistry;
    findPool: (name: string) => TablePool | undefined;
    clock: Clock;
    signal: AbortSignal;
};

/** Weight of one outcome in the share of failures. */
const failureWeight = 0.15;
const firstBlockMilliseconds = 250;
const maxBlockMilliseconds = 2_000;
/** A connection that takes longer goes to a machine without power or behind a cut. */
const connectMilliseconds = 300;
/** Hosts for which a target's connections suffice. */
const hostsPerTarget = 14;
const minConnections = 4;
const assumedConnections = 100;

/** Creates the views and keeps them as the registry changes. */
export const createTargetStates = ({ registry, findPool: pool, clock, signal }: TargetStatesOptions): TargetStates => {
    const views = new Map<string, TargetState>();

    const create = (target: RegisteredTarget): TargetState => {
        const accepted = pool(target.pool)?.maxConnections ?? assumedConnections;
        const connections = Math.max(minConnections, Math.floor(accepted / hostsPerTarget));
        return {
            target,
            load: createTargetLoad(target.slots),
            link: createExchangeLink({ address: target.address, connections, connectMilliseconds }),
            failureShare: 0,
            blockedUntil: 0,
            connectFailures: 0,
            warmupEndsAt: clock.now() + target.warmupMilliseconds,
            gone: false,
        };
    };

    const drop = (view: TargetState): void => {
        view.gone = true;
        views.delete(view.target.name);
        view.link.close();
    };

    registry.onChange((target, gone) => {
        const view = views.get(target.name);
        if (gone) {
            if (view !== undefined) {
                drop(view);
            }
            return;
        }
        if (view !== undefined && view.target.incarnation === target.incarnation) {
            view.target = target;
            return;
        }
        if (view !== undefined) {
            drop(view);
        }
        views.set(target.name, create(target));
    });
    signal.addEventListener("abort", () => [...views.values()].forEach(drop), { once: true });

    const block = (view: TargetState, milliseconds: number): void => {
        view.blockedUntil = Math.max(view.blockedUntil, clock.now() + milliseconds);
    };

    return {
        ofPool: name => [...views.values()].filter(view => view.target.pool === name),
        get: name => views.get(name),
        recordFailure: view => {
            view.failureShare += (1 - view.failureShare) * failureWeight;
        },
        recordSuccess: view => {
            view.connectFailures = 0;
            view.failureShare -= view.failureShare * failureWeight;
        },
        recordConnectFailure: view => {
            block(view, Math.min(maxBlockMilliseconds, firstBlockMilliseconds * 2 ** view.connectFailures));
            view.connectFailures += 1;
        },
        block,
    };
};
