/**
 * Compares rules for the concurrency limit of a target that starts or recovers, in a simulation without a network: ten
 * targets of a pool at 0.8 of its capacity, of which the first one or all start. Prints the table of
 * `docs/decisions/pace.md`: `npx tsx bench/paceplay.ts`.
 */
import { createPace, limitedShare, type Pace, usableSlots } from "../src/decisions/pace.ts";
import { createRandom } from "./random.ts";

type Rule = { name: string; isShared: boolean; create: () => Pace };

/** What happens to targets: the factor on the service time, and the running requests beyond which one fails requests. */
type Behaviour = { isDown: boolean; factor: number; safe: number };

type Scenario = {
    title: string;
    starting: number;
    behaviour: (milliseconds: number) => Behaviour;
    /** Factor on the service time that is measured. */
    measuredFactor?: number;
    /** Times at which the targets start again. */
    starts: number[];
};

const slots = 8;
const targetCount = 10;
const serviceMilliseconds = 100;
const lateMilliseconds = 400;
const load = 0.8;
const playMilliseconds = 12_000;
const tellMilliseconds = 500;
const hostCounts = [1, 10, 100];

const whole: Behaviour = { isDown: false, factor: 1, safe: Infinity };
const cold: Behaviour = { isDown: false, factor: 2, safe: 4 };
const warmsUp = (milliseconds: number): Behaviour => milliseconds < 3_000 ? cold : whole;

const scenarios: Scenario[] = [
    { title: "starts", starting: 1, behaviour: warmsUp, starts: [0] },
    {
        title: "starts, takes one at a time",
        starting: 1,
        behaviour: time => time < 3_000 ? { ...cold, safe: 1 } : whole,
        starts: [0],
    },
    { title: "reports a false load", starting: 1, behaviour: warmsUp, starts: [0], measuredFactor: 0.3 },
    {
        title: "flaps",
        starting: 1,
        behaviour: time => time < 6_000 && time % 2_000 >= 1_500 ? { ...cold, isDown: true } : warmsUp(time),
        starts: [0, 2_000, 4_000, 6_000],
    },
    {
        title: "turns slow again",
        starting: 1,
        behaviour: time => time >= 5_000 && time < 8_000 ? { ...cold, factor: 3 } : warmsUp(time),
        starts: [0],
    },
    { title: "whole pool", starting: targetCount, behaviour: warmsUp, starts: [0] },
];

/** Slow start by age, as `ramp.ts` had it: a quarter, half after 3 s, all after 6 s. */
const createByAge = (): Pace => {
    let startedAt = -Infinity;
    const shareAt = (age: number): number => age < 3_000 ? 0.25 : 0.5;
    return {
        record: () => undefined,
        concurrency: now => now - startedAt >= 6_000 ? Infinity : slots * shareAt(now - startedAt),
        start: now => {
            startedAt = now;
        },
    };
};

/** A gradient of service times: the limit follows the ratio of the best to the present service time. */
const createGradient = (): Pace => {
    let limit = Infinity;
    let best = Infinity;
    let service: number | undefined;
    return {
        record: ({ answered, serviceMilliseconds: sum, failed }) => {
            if (answered > 0) {
                const mean = sum / answered;
                service = service === undefined ? mean : service + (mean - service) * (1 - 0.85 ** answered);
                best = Math.min(best, service);
            }
            if (limit !== Infinity && service !== undefined) {
                const gradient = failed > 0 ? 0.5 : Math.max(0.5, Math.min(1, best * 1.5 / service));
                const next = limit * gradient + Math.sqrt(limit);
                limit = Math.max(1, limit + (next - limit) * Math.min(1, 0.2 * (answered + failed)));
                limit = limit > slots ? Infinity : limit;
            }
        },
        concurrency: () => limit,
        start: () => {
            limit = 1;
            best = Infinity;
            service = undefined;
        },
    };
};

const createTypicalPace = (): Pace => createPace({ slots, typicalMilliseconds: () => serviceMilliseconds });

const rules: Rule[] = [
    { name: "age", isShared: false, create: createByAge },
    { name: "gradient, shared", isShared: true, create: createGradient },
    { name: "AIMD, own measures", isShared: false, create: createTypicalPace },
    { name: "AIMD, shared", isShared: true, create: createTypicalPace },
];

type Running = { endsAt: number; sentAt: number; service: number; fails: boolean; host: number };
type Target = { running: Running[]; queue: Array<{ sentAt: number; host: number }> };

const play = (rule: Rule, scenario: Scenario, hostCount: number) => {
    const random = createRandom(5);
    const paces = Array.from(
        { length: hostCount },
        () => Array.from({ length: targetCount }, () => rule.create()),
    );
    const targets = Array.from({ length: targetCount }, (): Target => ({ running: [], queue: [] }));
    const result = { overload: 0, idle: 0, fullAt: Infinity, sent: 0 };
    const isStarting = (index: number): boolean => index < scenario.starting;
    const told: Array<{ at: number; index: number; host: number; service: number; failed: number }> = [];
    const measure = (host: number, index: number, service: number, failed: number, now: number): void => {
        const measured = isStarting(index) ? service * (scenario.measuredFactor ?? 1) : service;
        paces[host][index].record({ answered: 1 - failed, serviceMilliseconds: measured, failed }, now);
        if (rule.isShared) {
            told.push({ at: now + tellMilliseconds, index, host, service: measured, failed });
        }
    };
    const behaviourOf = (index: number, now: number): Behaviour => isStarting(index) ? scenario.behaviour(now) : whole;
    const finish = (index: number, { sentAt, host, service, fails }: Omit<Running, "endsAt">, now: number): void => {
        const isLate = now - sentAt > lateMilliseconds;
        result.overload += Number(isStarting(index) && (fails || isLate));
        measure(host, index, service, Number(fails), now);
    };
    const advance = (index: number, now: number): void => {
        const target = targets[index];
        const { isDown, factor, safe } = behaviourOf(index, now);
        const ended = target.running.filter(({ endsAt }) => isDown || endsAt <= now);
        target.running = target.running.filter(running => !ended.includes(running));
        ended.forEach(running => finish(index, { ...running, fails: running.fails || isDown }, now));
        if (isDown) {
            target.queue.splice(0).forEach(({ sentAt, host }) =>
                finish(index, { sentAt, host, service: 0, fails: true }, now)
            );
        }
        while (target.running.length < slots && target.queue.length > 0) {
            const [{ sentAt, host }] = target.queue.splice(0, 1);
            const service = serviceMilliseconds * factor * (0.5 + random.uniform());
            const fails = target.running.length >= safe;
            target.running.push({ endsAt: now + (fails ? 5 : service), sentAt, service, fails, host });
        }
    };
    const loadOf = (index: number): number => targets[index].running.length + targets[index].queue.length;
    const choose = (host: number, now: number): number => {
        const known = paces[host].map(pace => ({ slots, concurrency: pace.concurrency(now) }));
        const limited = limitedShare(known);
        const costs = known.map((target, index) => {
            const usable = usableSlots(target, limited);
            const queued = Math.max(0, loadOf(index) + 1 - usable);
            return behaviourOf(index, now).isDown
                ? Infinity
                : (1 + queued / usable) * (0.9 + 0.2 * random.uniform());
        });
        return costs.indexOf(Math.min(...costs));
    };
    let arrivesAt = 0;
    for (let now = 0; now < playMilliseconds; now += 5) {
        if (scenario.starts.includes(now)) {
            paces.forEach(ofHost => ofHost.slice(0, scenario.starting).forEach(pace => pace.start(now)));
        }
        while (told.length > 0 && told[0].at <= now) {
            const [{ index, host, service, failed }] = told.splice(0, 1);
            paces.forEach((ofHost, other) =>
                other === host
                    ? undefined
                    : ofHost[index].record({ answered: 1 - failed, serviceMilliseconds: service, failed }, now)
            );
        }
        for (; arrivesAt <= now; arrivesAt += random.exponential(serviceMilliseconds / (load * targetCount * slots))) {
            const host = random.integerBelow(hostCount);
            const index = choose(host, now);
            result.sent += Number(isStarting(index));
            targets[index].queue.push({ sentAt: now, host });
        }
        targets.forEach((...[, index]) => advance(index, now));
        const hasQueues = targets.some(({ queue }) => queue.length > 0);
        const free = slots - targets[0].running.length;
        result.idle += hasQueues && !behaviourOf(0, now).isDown ? Math.max(0, free) * 5 / 1_000 : 0;
        const full = paces.filter(ofHost => ofHost[0].concurrency(now) === Infinity).length;
        result.fullAt = full * 2 >= hostCount ? Math.min(result.fullAt, now) : Infinity;
    }
    return result;
};

const row = (cells: Array<string | number>): string => `| ${cells.join(" | ")} |`;

const printTable = (): void => {
    const lines = [
        row(["target", "hosts", "rule", "sent", "failed or late", "idle slot seconds", "full after, s"]),
        row(Array.from({ length: 7 }, () => "---")),
    ];
    for (const scenario of scenarios) {
        for (const hostCount of hostCounts) {
            for (const rule of rules) {
                const { sent, overload, idle, fullAt } = play(rule, scenario, hostCount);
                const full = fullAt === Infinity ? "not" : (fullAt / 1_000).toFixed(1);
                lines.push(row([scenario.title, hostCount, rule.name, sent, overload, idle.toFixed(1), full]));
            }
        }
    }
    console.log(lines.join("\n"));
};

printTable();
