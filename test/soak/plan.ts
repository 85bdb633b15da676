/**
 * The plan of a soak: which disturbances come when, drawn from a seed. Pure; the same seed gives the same plan.
 */

import { type Garble, garbles } from "../../stand-ins/resident/garble.ts";

/** A service of a deployment: its backends, their slots, the time of its work, and what its requests may do. */
export type SoakService = {
    name: string;
    backends: number;
    slots: number;
    workMilliseconds: number;
    deadlineMilliseconds: number;
    isSafe: boolean;
    isSharded: boolean;
    perSecond: number;
};
export type Site = { name: string; hosts: number; zones: string[]; processorShare: number; services: SoakService[] };

const service = (
    name: string,
    [backends, slots, workMilliseconds, deadlineMilliseconds, perSecond]: [number, number, number, number, number],
    { isSafe = true, isSharded = false } = {},
): SoakService => ({ name, backends, slots, workMilliseconds, deadlineMilliseconds, perSecond, isSafe, isSharded });

/** The two deployments, with the sizes and figures of their descriptions. */
export const sites: Record<string, Site> = {
    hallam: {
        name: "hallam",
        hosts: 10,
        zones: ["leicester", "nuneaton", "burton"],
        processorShare: 0.405,
        services: [
            service("traystock", [12, 3, 120, 2_500, 159], { isSharded: true }),
            service("orderbook", [6, 3, 160, 3_000, 61], { isSafe: false }),
            service("archive", [11, 3, 300, 5_000, 58]),
        ],
    },
    verhaeghe: {
        name: "verhaeghe",
        hosts: 9,
        zones: ["depanne", "koksijde", "nieuwpoort", "oostduinkerke"],
        processorShare: 0.54,
        services: [
            service("saldo", [10, 4, 220, 4_000, 98], { isSharded: true }),
            service("inwissel", [8, 4, 290, 5_000, 46], { isSafe: false }),
            service("stalrooster", [10, 4, 550, 10_000, 37]),
        ],
    },
};

export type Signal = "SIGTERM" | "SIGINT" | "SIGHUP" | "SIGKILL";
export type Place = "callers" | "hosts" | "store" | "targets";
/** `at` is in milliseconds from the start of the traffic. */
export type Step =
    & { at: number }
    & (
        /** With `afterStart`, the signal comes so many milliseconds after the host's next start. */
        | { kind: "signal"; host: number | "coordinator"; signal: Signal; afterStart?: number }
        | { kind: "reuse"; service: number; to: number; how: "drained" | "removed" | "abrupt" }
        | { kind: "reset"; place: Place; share: number }
        /** `add` adds a route of the manifest's version. */
        | { kind: "manifest"; how: "drop" | "move" | "restore" | "add"; service: number }
        | { kind: "store"; fault: "silent" | "refusing" | "slow" | "late" | "none" }
        /** The store is away from then on; it returns from the last copy, with revisions beyond the lost ones or not. */
        | { kind: "copy" }
        | { kind: "away" }
        | { kind: "rewrite" }
        | { kind: "return"; isOvertaking: boolean }
        /** A host is cut from the store, or no longer. */
        | { kind: "cut"; host: number; isCut: boolean }
        /** Another target of the service registers. */
        | { kind: "join"; service: number }
        /** From then on, targets garble the share of their answers in one of these ways. */
        | { kind: "garble"; garbles: Garble[]; share: number }
        /** The event loop of a host is held, by work of its own or as the process is stopped by the system. */
        | { kind: "hold"; host: number; milliseconds: number; how: "work" | "stopped" }
    );

/** Names of the plays. Each brings together the disturbances that it is named for; `mixed` draws from all. */
export const plays = [
    "reuse",
    "resets",
    "manifest",
    "thin",
    "starts",
    "garble",
    "mixed",
    "store-return",
    "held",
] as const;
export type Play = typeof plays[number];

export type Random = { below: (limit: number) => number; chance: (share: number) => boolean };

export const createRandom = (seed: number): Random => {
    let state = (seed * 2_654_435_769) >>> 0;
    const next = (): number => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
    return { below: limit => Math.floor(next() * limit), chance: share => next() < share };
};

/** After a SIGTERM: the signal, the close of idle connections, the ends of a grace of 3 s and of one of 6 s. */
const momentsOfStop = [0, 2_400, 2_600, 5_600];

export type PlanOptions = { seed: number; play: Play; hosts: number; seconds: number; services: number };

/** Steps in order of their time. The last seconds are free of them, so that what runs can end. */
export const createPlan = ({ seed, play, hosts, seconds, services }: PlanOptions): Step[] => {
    const random = createRandom(seed);
    const steps: Step[] = [];
    const pick = <T>(choices: readonly T[]): T => choices[random.below(choices.length)] as T;

    /** Hosts are stopped one after the other, some twice, some with a reload, while others are still stopping. */
    const stops = (at: number, onStop?: (host: number, time: number) => void): void => {
        const first = random.below(hosts);
        const gap = pick([200, 1_000, 1_300, 3_000]);
        for (let index = 0; index < Math.max(1, Math.ceil(hosts * 0.45)); index += 1) {
            const host = (first + index) % hosts;
            const time = at + index * gap;
            if (random.chance(0.3)) {
                steps.push({ at: time - random.below(1_500), kind: "signal", host, signal: "SIGHUP" });
            }
            steps.push({ at: time, kind: "signal", host, signal: random.chance(0.85) ? "SIGTERM" : "SIGINT" });
            if (random.chance(0.4)) {
                const signal = pick(["SIGTERM", "SIGHUP", "SIGINT"] as const);
                steps.push({ at: time + random.below(4_000), kind: "signal", host, signal });
            }
            onStop?.(host, time);
        }
    };
    /** Holds a host so that what is due at the moment comes late. */
    const holdAround = (moment: number, host: number): void => {
        const milliseconds = 100 + random.below(701);
        const how = random.chance(0.75) ? "work" : "stopped";
        steps.push({ at: moment - random.below(milliseconds), kind: "hold", host, milliseconds, how });
    };
    const heldStops = (at: number): void =>
        stops(at, (host, time) => {
            for (const after of momentsOfStop) {
                if (random.chance(0.6)) {
                    holdAround(time + after, host);
                }
            }
        });
    const holds = (at: number): void => {
        for (let count = 4 + random.below(2 * hosts); count > 0; count -= 1) {
            holdAround(at + random.below(6_000), random.below(hosts));
        }
    };
    const manifests = (at: number): void => {
        const count = 2 + random.below(6);
        const gap = pick([100, 300, 700]);
        for (let index = 0; index <= count; index += 1) {
            const how = index === count ? "restore" : pick(["add", "add", "drop", "move"] as const);
            steps.push({ at: at + index * gap, kind: "manifest", how, service: random.below(services) });
        }
    };
    const reuse = (at: number): void => {
        for (let count = 1 + random.below(3); count > 0; count -= 1) {
            const from = random.below(services);
            const to = (from + 1 + random.below(services - 1)) % services;
            const how = pick(["drained", "drained", "removed", "abrupt"] as const);
            steps.push({ at: at + random.below(1_500), kind: "reuse", service: from, to, how });
        }
    };
    const resets = (at: number): void => {
        for (let count = 1 + random.below(4); count > 0; count -= 1) {
            const place = pick(["targets", "targets", "hosts", "store", "callers"] as const);
            steps.push({ at: at + random.below(4_000), kind: "reset", place, share: pick([0.3, 0.55, 1]) });
        }
    };
    const manifest = (at: number): void => {
        const chosen = random.below(services);
        steps.push({ at, kind: "manifest", how: pick(["drop", "move"] as const), service: chosen });
        steps.push({ at: at + 300 + random.below(4_000), kind: "manifest", how: "restore", service: chosen });
    };
    const starts = (at: number): void => {
        for (let count = 1 + random.below(hosts); count > 0; count -= 1) {
            const host = random.below(hosts);
            const signal = pick(["SIGTERM", "SIGHUP", "SIGINT", "SIGHUP"] as const);
            steps.push({ at, kind: "signal", host, signal, afterStart: random.below(pick([60, 300, 1_500])) });
            steps.push({ at, kind: "signal", host, signal: pick(["SIGKILL", "SIGTERM"] as const) });
        }
    };
    const store = (at: number): void => {
        steps.push({ at, kind: "store", fault: pick(["silent", "refusing", "slow"] as const) });
        steps.push({ at: at + 1_000 + random.below(5_000), kind: "store", fault: "none" });
    };
    const kills = (at: number): void => {
        steps.push({ at, kind: "signal", host: random.below(hosts), signal: "SIGKILL" });
    };

    const garble = (at: number): void => {
        const chosen = random.chance(0.4) ? [...garbles] : [pick(garbles)];
        steps.push({ at, kind: "garble", garbles: chosen, share: pick([0.05, 0.2, 0.4]) });
    };

    /** Writes what changes in the time before the copy is due, so that the store loses it. */
    const changes = (from: number, time: number): void => {
        for (let count = 2 + random.below(8); count > 0; count -= 1) {
            steps.push({ at: from + random.below(time), kind: "manifest", how: "add", service: 0 });
        }
        steps.push({ at: from + random.below(time), kind: "join", service: services - 1 });
    };
    /** The store goes away, returns from the last copy, and what the operator and the targets wrote is written again. */
    const goAndReturn = (at: number): number => {
        if (random.chance(0.4)) {
            steps.push({ at: at - random.below(600), kind: "store", fault: "late" });
            steps.push({ at, kind: "store", fault: "none" });
        }
        const backAt = at + 700 + random.below(600);
        const rewrittenAt = backAt + 300 + random.below(1_700);
        steps.push({ at, kind: "away" });
        steps.push({ at: backAt, kind: "return", isOvertaking: random.chance(0.5) });
        steps.push({ at: rewrittenAt, kind: "rewrite" });
        if (random.chance(0.5)) {
            const signal = pick(["SIGKILL", "SIGTERM"] as const);
            steps.push({ at: backAt - 1_500 + random.below(3_000), kind: "signal", host: "coordinator", signal });
        }
        if (random.chance(0.4)) {
            const host = random.below(hosts);
            steps.push({ at: at - random.below(1_000), kind: "cut", host, isCut: true });
            steps.push({ at: backAt + random.below(4_000), kind: "cut", host, isCut: false });
        }
        changes(rewrittenAt + 200, 1_000);
        return rewrittenAt;
    };
    const returns = (at: number): void => {
        const lossMilliseconds = 1_500 + random.below(4_500);
        steps.push({ at, kind: "copy" });
        changes(at, lossMilliseconds);
        const rewrittenAt = goAndReturn(at + lossMilliseconds);
        if (random.chance(0.4)) {
            if (random.chance(0.5)) {
                steps.push({ at: rewrittenAt + 300, kind: "copy" });
            }
            goAndReturn(rewrittenAt + 1_500);
        }
    };

    const parts: Record<Play, Array<(at: number) => void>> = {
        reuse: [stops, reuse],
        resets: [stops, resets],
        manifest: [stops, manifest],
        thin: [stops],
        starts: [starts, store],
        garble: [garble, stops],
        mixed: [stops, reuse, resets, manifest, starts, store, kills],
        "store-return": [returns],
        held: [heldStops, holds, manifests],
    };
    const [gap, end] = play === "store-return" ? [14_000, 34_000] : [5_000, 6_000];
    for (let at = 1_000; at < seconds * 1_000 - end; at += gap + random.below(3_000)) {
        const all = parts[play];
        const chosen = play === "mixed" ? all.filter(() => random.chance(0.45)) : all;
        chosen.forEach(part => part(at + random.below(1_000)));
    }
    return steps.filter(step => step.at < seconds * 1_000 - 1_000).sort((left, right) => left.at - right.at);
};
