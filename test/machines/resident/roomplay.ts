/**
 * Plays hosts that share targets in virtual time.
 */
import { createRandom } from "../../../bench/random.ts";
import type { SharingHosts } from "../../../src/decisions/targetroom.ts";
import { createVirtualClock, type VirtualClock } from "../fakes/clock.ts";
import { createVirtualHosts, type VirtualHost } from "./virtualhosts.ts";

const workMilliseconds = 500;
export const utilization = 0.9;

/** Shape of one play. */
export type RoomPlay = {
    hosts: number;
    /** Hosts that join in the middle of the play. */
    joining?: number;
    targets: number;
    slots: number;
    accepted: number;
    isSharded?: boolean;
    seconds: number;
    /** 1 by default. */
    seed?: number;
    /** Requests as a share of those that all slots can run; 0.9 by default. */
    load?: number;
    /** Share of the requests that come to the first host; the others come to random ones. */
    hotShare?: number;
    /** Called when a third of the play is over. */
    disturb?: (play: Disturbance) => void;
};

export type Disturbance = {
    clock: VirtualClock;
    /** Hosts that get requests. */
    running: VirtualHost[];
    /** Starts one more host, which gets requests from now on. */
    start: (hosts: SharingHosts | undefined, group?: number) => VirtualHost;
    /** From now on all requests come to the others than the first host. */
    turnAway: () => void;
};

/** Returns what a host knows that knows all of the hosts for long. */
export const settled = (count: number, place: number): SharingHosts => ({ count, place, isSettled: true });

/** Time after which those that were there before know those that join, and after which these have settled. */
const knownMilliseconds = 1_000;
const settledMilliseconds = 4_000;

/** Plays requests at random hosts. Returns what became of them and what the targets counted. */
export const playRoom = async (
    {
        hosts,
        joining = 0,
        targets,
        slots,
        accepted,
        isSharded = false,
        seconds,
        seed = 1,
        load = utilization,
        hotShare = 0,
        disturb,
    }: RoomPlay,
) => {
    const clock = createVirtualClock();
    const random = createRandom(seed);
    const setup = createVirtualHosts({
        clock,
        targets,
        slots,
        queue: 20,
        accepted,
        workMilliseconds: () => random.exponential(workMilliseconds),
        isSharded,
        objectiveMilliseconds: 3 * workMilliseconds,
        timeoutMilliseconds: 6 * workMilliseconds,
        random: random.uniform,
    });
    const running = Array.from({ length: hosts }, (...[, place]) => setup.start(settled(hosts, place)));
    const all = hosts + joining;
    const join = (): void => {
        for (let place = hosts; place < all; place += 1) {
            running.push(setup.start({ count: all, place, isSettled: false }));
        }
        clock.after(
            knownMilliseconds,
            () => running.slice(0, hosts).forEach((host, place) => host.know(settled(all, place))),
        );
        clock.after(
            settledMilliseconds,
            () => running.slice(hosts).forEach((host, index) => host.know(settled(all, hosts + index))),
        );
    };
    const ended: Record<string, number> = {};
    let asked = 0;
    let isAway = false;
    const meanPause = workMilliseconds / (targets * slots * load);
    const endAt = clock.now() + seconds * 1_000;
    const ask = (): void => {
        if (clock.now() >= endAt) {
            return;
        }
        asked += 1;
        const isHot = !isAway && hotShare > 0 && random.uniform() < hotShare;
        const other = isAway ? 1 + random.integerBelow(running.length - 1) : random.integerBelow(running.length);
        void running[isHot ? 0 : other].serve().then(answer => {
            const result = answer.kind === "refusal" ? answer.reason : "served";
            ended[result] = (ended[result] ?? 0) + 1;
        });
        clock.after(random.exponential(meanPause), ask);
    };
    ask();
    if (joining > 0) {
        clock.after(seconds * 1_000 / 3, join);
    }
    if (disturb !== undefined) {
        const start: Disturbance["start"] = (...parameters) => {
            const host = setup.start(...parameters);
            running.push(host);
            return host;
        };
        const turnAway = (): void => {
            isAway = true;
        };
        clock.after(seconds * 1_000 / 3, () => disturb({ clock, running, start, turnAway }));
    }
    await clock.advance(seconds * 1_000 + 12 * workMilliseconds);
    return {
        served: (ended["served"] ?? 0) / asked,
        asked,
        ended,
        mostOpen: Math.max(...setup.targets.map(target => target.mostOpen)),
        resets: setup.targets.reduce((sum, target) => sum + target.resets, 0),
    };
};
