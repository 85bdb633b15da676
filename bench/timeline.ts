/**
 * The timeline of a case: performs each event at its time and records its result.
 */
import { randomUUID } from "node:crypto";
import { createPlatformLink } from "../src/links/platform.ts";
import { monotonicMilliseconds } from "../stand-ins/target.ts";
import { delay } from "./caller.ts";
import { type BenchEvent, hostActions } from "./case.ts";
import type { Fleet, FleetHost } from "./fleet.ts";

/** The result of an event. It failed when the system did not react to it as required. */
export type EventResult = { at: number; text: string; failed: boolean };

type EventOf<Name extends string> = Extract<BenchEvent, Record<Name, unknown>>;

const platformTimeoutMilliseconds = 2_000;
const statusPollMilliseconds = 20;
const rolloutLimitMilliseconds = 11_000;
const liveLimitMilliseconds = 10_000;

const findCoordinator = async (fleet: Fleet): Promise<FleetHost> => {
    const { platformRecords } = await fleet.platform.ask({ kind: "records" });
    const counts = new Map<string, number>();
    for (const { kind, value } of platformRecords?.objects ?? []) {
        if (kind === "leases") {
            const { holder } = value as { holder: string };
            counts.set(holder, (counts.get(holder) ?? 0) + 1);
        }
    }
    const coordinator = [...counts].sort(([, left], [, right]) => right - left)[0]?.[0];
    return fleet.hosts.find(({ name }) => name === coordinator) ?? fleet.hosts[0];
};

const setListedState = async (fleet: Fleet, host: FleetHost, state: "live" | "gone"): Promise<void> => {
    await fleet.platform.ask({ kind: "platform-faults", faults: { listedHosts: { [host.name]: state } } });
};

const stopHost = async (fleet: Fleet, host: FleetHost): Promise<string> => {
    host.child.signal("SIGTERM");
    const end = await host.child.exited;
    await setListedState(fleet, host, "gone");
    return end;
};

const startHost = async (fleet: Fleet, host: FleetHost): Promise<void> => {
    fleet.startHost(host);
    await setListedState(fleet, host, "live");
    const endAt = monotonicMilliseconds() + liveLimitMilliseconds;
    while ((await host.status())?.state !== "live" && monotonicMilliseconds() < endAt) {
        await delay(statusPollMilliseconds);
    }
};

/** The host to which an event applies. To resume the coordinator means to resume the host that was paused. */
const selectHost = async (fleet: Fleet, event: EventOf<"action">): Promise<FleetHost> => {
    if (event.host !== "coordinator") {
        return fleet.hosts[event.host - 1];
    }
    const paused = fleet.hosts.find(host => host.isPaused);
    return event.action === hostActions.resume && paused !== undefined ? paused : findCoordinator(fleet);
};

const actOnHost = async (fleet: Fleet, event: EventOf<"action">): Promise<Omit<EventResult, "at">> => {
    const host = await selectHost(fleet, event);
    const text = `${host.name} ${event.action}`;
    switch (event.action) {
        case hostActions.kill:
            host.child.signal("SIGKILL");
            await setListedState(fleet, host, "gone");
            return { text, failed: false };
        case hostActions.stop: {
            const end = await stopHost(fleet, host);
            return { text: `${text} ended with ${end}`, failed: end !== "0" };
        }
        case hostActions.start:
            await startHost(fleet, host);
            return { text, failed: false };
        case hostActions.pause:
            host.child.signal("SIGSTOP");
            host.isPaused = true;
            return { text, failed: false };
        case hostActions.resume:
            host.child.signal("SIGCONT");
            host.isPaused = false;
            return { text, failed: false };
    }
};

const replaceHosts = async (fleet: Fleet, pauseSeconds: number): Promise<Omit<EventResult, "at">> => {
    const ends: string[] = [];
    for (const host of fleet.hosts) {
        ends.push(await stopHost(fleet, host));
        await startHost(fleet, host);
        await delay(pauseSeconds * 1_000);
    }
    const failed = ends.some(end => end !== "0");
    return { text: `replaced ${ends.length} hosts, which ended with ${[...new Set(ends)].join(", ")}`, failed };
};

/** Milliseconds until all hosts that answer have the version; `undefined` when the time limit passes first. */
const measureRollout = async (fleet: Fleet, object: string, version: number): Promise<number | undefined> => {
    const startedAt = monotonicMilliseconds();
    while (monotonicMilliseconds() - startedAt < rolloutLimitMilliseconds) {
        const reports = await Promise.all(fleet.hosts.map(host => host.status()));
        const receivedReports = reports.filter(report => report !== undefined);
        if (receivedReports.length > 0 && receivedReports.every(report => (report.versions[object] ?? 0) >= version)) {
            return monotonicMilliseconds() - startedAt;
        }
        await delay(statusPollMilliseconds);
    }
    return undefined;
};

const editPlan = async (fleet: Fleet, name: string, operators: number): Promise<Omit<EventResult, "at">> => {
    const platform = createPlatformLink({ url: fleet.platformUrl, timeoutMilliseconds: platformTimeoutMilliseconds });
    const current = await platform.get("plans", name);
    const results = await Promise.all([...Array(operators).keys()].map(index =>
        platform.put({
            kind: "plans",
            name,
            value: { ...current?.value as object, rate: { perSecond: 100_000 + index, burst: 100_000 } },
            ifVersion: current?.version ?? 0,
            writeId: randomUUID(),
        })
    ));
    await platform.close();
    const written = results.filter(result => result.result === "written");
    const rolloutMilliseconds = written.length === 1
        ? await measureRollout(fleet, `plans/${name}`, written[0].version)
        : undefined;
    const time = rolloutMilliseconds === undefined
        ? "not in force everywhere in time"
        : `in force everywhere in ${rolloutMilliseconds.toFixed(0)} ms`;
    return {
        text: `${operators} edits of plan ${name}: ${written.length} written, ${time}`,
        failed: written.length !== 1 || rolloutMilliseconds === undefined,
    };
};

const zoneOfTarget = (fleet: Fleet, name: string): string => {
    const shape = fleet.customer.pools.find(pool => name.startsWith(`${pool.name}-`));
    const index = Number(name.slice((shape?.name.length ?? 0) + 1)) - 1;
    return shape?.zones[index % shape.zones.length] ?? "";
};

/** Cuts the network between a zone and the rest of the fleet. Callers still reach all hosts. */
const cutZone = async (fleet: Fleet, zone: string): Promise<Omit<EventResult, "at">> => {
    const inside = fleet.hosts.filter(host => host.zone === zone).map(host => host.address);
    const outside = zone === "" ? [] : fleet.hosts.filter(host => host.zone !== zone).map(host => host.address);
    await fleet.platform.ask({ kind: "platform-faults", faults: { cutFrom: inside } });
    await fleet.networkProxy.ask({ kind: "cut", zones: zone === "" ? [] : [zone] });
    for (const pool of fleet.customer.pools) {
        for (let index = 1; index <= pool.targets; index += 1) {
            const target = `${pool.name}-${index}`;
            const cutFrom = zoneOfTarget(fleet, target) === zone ? outside : inside;
            await fleet.targets.ask({ kind: "target-faults", target, faults: { cutFrom } });
        }
    }
    return { text: zone === "" ? "all cuts healed" : `zone ${zone} cut off`, failed: false };
};

const perform = async (fleet: Fleet, event: BenchEvent): Promise<Omit<EventResult, "at">> => {
    if ("target" in event) {
        await fleet.targets.ask({ kind: "target-faults", target: event.target, faults: event.faults });
        return { text: `${event.target} ${JSON.stringify(event.faults)}`, failed: false };
    }
    if ("platform" in event) {
        await fleet.platform.ask({ kind: "platform-faults", faults: event.platform });
        return { text: `platform ${JSON.stringify(event.platform)}`, failed: false };
    }
    if ("replaceHosts" in event) {
        return replaceHosts(fleet, event.pauseSeconds);
    }
    if ("cutZone" in event) {
        return cutZone(fleet, event.cutZone);
    }
    if ("editPlan" in event) {
        return editPlan(fleet, event.editPlan, event.operators);
    }
    return actOnHost(fleet, event);
};

/** Performs all events, each at its time after the start, and resolves with their results when the last is done. */
export const runTimeline = (fleet: Fleet, events: BenchEvent[], startAt: number): Promise<EventResult[]> =>
    Promise.all(events.map(async event => {
        await delay(Math.max(0, startAt + event.at * 1_000 - monotonicMilliseconds()));
        const result = await perform(fleet, event);
        return { at: event.at, ...result };
    }));
