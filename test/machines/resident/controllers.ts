/**
 * Range controllers of several hosts on one fake store and fake targets, in virtual time.
 */
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { createKeyLoads } from "../../../src/decisions/keyload.ts";
import { firstEra } from "../../../src/decisions/poolobjectnames.ts";
import { createServiceTimes } from "../../../src/decisions/servicetimes.ts";
import type { Log, LogFields } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import type { PoolNewsListener } from "../../../src/machines/resident/coordinatornews.ts";
import { createEvacuations } from "../../../src/machines/resident/evacuations.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import { registerProcess } from "../../../src/machines/resident/processes.ts";
import { createRangeController } from "../../../src/machines/resident/rangecontroller.ts";
import { createStoreWatcher } from "../../../src/machines/resident/storewatcher.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createPausableClock, createVirtualClock } from "../fakes/clock.ts";
import { createFakeStore } from "./fakestore.ts";
import { createFakeTargets } from "./faketargets.ts";

const pool = "stock";
/** Time in which hosts hear the news of each other. */
const newsMilliseconds = 100;
const targetNames = ["a", "b", "c"];
/** Each target is in a zone of its own. */
export const zoneOf = (target: string): string => `z-${target}`;

/**
 * Starts a controller on each host and waits until one of them coordinates.
 *
 * @param processors processor of each host, in cores.
 * @param followsEvacuations whether hosts read which zones are evacuated.
 */
export const setUp = async (processors = [1, 1, 1], followsEvacuations = false) => {
    const world = createVirtualClock();
    const shared = createFakeStore(world, firstEra);
    const targets = createFakeTargets(targetNames, world);
    const metrics = createMetrics();

    const lines: Array<{ process: string; event: string; reason: unknown }> = [];
    const logOf = (process: string): Log => {
        const write = (event: string, fields: LogFields = {}): void =>
            void lines.push({ process, event, reason: fields["reason"] });
        const log: Log = { debug: write, info: write, warn: write, error: write, child: () => log };
        return log;
    };

    /** What each host does with the news of others. */
    const newsOf = new Map<string, (tell: (listener: PoolNewsListener) => void) => void>();

    const register = (name: string, leaving = false): void => {
        const { incarnation } = targets.get(name);
        const address = `10.0.0.1:${name.charCodeAt(0)}`;
        const entry: RegisteredTarget = {
            name,
            incarnation,
            pool,
            address,
            zone: zoneOf(name),
            slots: 3,
            leaving,
            warmupMilliseconds: 0,
        };
        shared.put("servers", name, entry);
    };

    const startHost = (process: string, processor = 1) => {
        const lifetime = new AbortController();
        const { signal } = lifetime;
        const clock = createPausableClock(world);
        const access = shared.access();
        const state = {
            cut: false,
            isDeaf: false,
            cutFrom: new Set<string>(),
            plans: 0,
            failing: "",
            keepsFailing: false,
        };
        const loads = createKeyLoads();
        const common = { clock, log: logOf(process), metrics, signal };
        const watcherOptions = {
            store: access.store,
            waitMilliseconds: 3_000,
            maxPauseMilliseconds: 500,
            onRecovered: () => undefined,
            ...common,
        };
        const evacuations = followsEvacuations
            ? createEvacuations({
                countTargets: zone => registry.ofZone(zone).length,
                coldMilliseconds: () => 0,
                ...common,
            })
            : undefined;
        const registry = createTargetRegistry({
            evacuations,
            decode: object => object.value as RegisteredTarget,
            reachableSince: () => entryWatcher.reachableSince(),
            ...common,
        });
        const entryWatcher = createStoreWatcher({
            ...watcherOptions,
            kind: "servers",
            onList: registry.applyList,
            onChanges: registry.applyChanges,
        });
        if (evacuations !== undefined) {
            createStoreWatcher({
                ...watcherOptions,
                kind: "evacuations",
                onList: evacuations.applyList,
                onChanges: evacuations.applyChanges,
            });
        }
        const coordinationWatcher = createStoreWatcher({
            ...watcherOptions,
            kind: "coordination",
            onList: objects => objects.forEach(object => controller.applyCoordination(object, false)),
            onChanges: events => events.forEach(event => controller.applyCoordination(event.object, event.removed)),
        });
        const ownerships = createOwnershipCache(clock, common.log, signal);
        createStoreWatcher({
            ...watcherOptions,
            kind: "ownership",
            onList: objects => objects.forEach(ownerships.put),
            onChanges: events => events.filter(event => !event.removed).forEach(event => ownerships.put(event.object)),
        });
        const host = { name: process.slice(0, process.lastIndexOf("/")), zone: "z1", address: "10.0.0.9:1", processor };
        const processes = registerProcess({ store: access.store, self: process, host, ...common });
        createStoreWatcher({
            ...watcherOptions,
            kind: "hosts",
            onList: processes.applyList,
            onChanges: processes.applyChanges,
        });
        const tellOthers = (tell: (listener: PoolNewsListener) => void): void => {
            const others = state.isDeaf ? [] : [...newsOf].filter(([name]) => name !== process);
            others.forEach(([, hear]) => hear(tell));
        };
        newsOf.set(process, tell => {
            if (!state.isDeaf && !signal.aborted) {
                clock.after(newsMilliseconds, () => tell(controller));
            }
        });
        const controller = createRangeController({
            pool,
            self: process,
            store: access.store,
            link: targets.linkOf(target => state.cut || state.cutFrom.has(target)),
            registry,
            processes,
            reportsAddress: "10.0.0.9:1",
            processor,
            loads: {
                ...loads,
                segments: now => {
                    state.plans += 1;
                    return loads.segments(now);
                },
            },
            work: createServiceTimes(),
            limitOf: () => undefined,
            reachableSince: () => coordinationWatcher.reachableSince(),
            rememberedOwnership: () => ownerships.getRemembered(pool),
            news: {
                announceTerm: term => tellOthers(listener => listener.applyTerm(term)),
                announceRetired: successor => tellOthers(listener => listener.applyRetired(process, successor)),
            },
            maxHoldMilliseconds: 10_000,
            wallClock: world.now,
            /** Throws for the task that is to fail, once or each time. */
            measure: (task, run) => {
                if (state.failing === task) {
                    state.failing = state.keepsFailing ? task : "";
                    throw new Error(`${task} failed`);
                }
                return run();
            },
            random: () => 0.1,
            ...common,
        });
        return {
            process,
            clock,
            access,
            state,
            controller,
            registry,
            ownership: () => ownerships.getRemembered(pool),
            kill: () => lifetime.abort(),
            hasEnded: () => signal.aborted,
        };
    };

    targetNames.forEach(name => register(name));
    const hosts = processors.map((processor, index) => startHost(`h${index + 1}/x`, processor));
    await world.advance(6_000);
    const coordinator = hosts.find(host => host.controller.isCoordinator()) ?? hosts[0];
    return { world, shared, targets, hosts, coordinator, register, startHost, lines };
};

export type Setup = Awaited<ReturnType<typeof setUp>>;
