/**
 * Random histories of claims with crashes, restarts and changes of keepers, delayed or lost messages and concurrent
 * attempts. Guards against an id that runs more than once.
 */
import test from "ava";
import fc from "fast-check";
import type { KeeperGroup } from "../../src/contracts/assignment.ts";
import { type ClaimMemory, createClaimMemory } from "../../src/decisions/claim.ts";
import { chooseKeepers } from "../../src/decisions/keepers.ts";

const names = ["a", "b", "c"];
const ageMilliseconds = 1_000_000;

type Grant = { epoch: string; granted: boolean };
type Attempt = {
    token: string;
    first: boolean;
    receivedAt: number;
    group: KeeperGroup;
    grants: Map<string, Grant>;
    over: boolean;
};
type Host = { memory: ClaimMemory; up: boolean };

const createHistory = () => {
    const host = (name: string): Host => ({
        memory: createClaimMemory({ host: name, ageMilliseconds, entryLimit: { used: 0, max: 1_000 }, pageEntries: 1 }),
        up: true,
    });
    const hosts = new Map(names.map(name => [name, host(name)]));
    const attempts: Attempt[] = [];
    let groups: KeeperGroup[] = [{ hosts: ["a", "b"], since: 1, previous: [] }];
    let revision = 1;
    let now = 0;
    let epochs = 0;
    let runs = 0;
    hosts.forEach(({ memory }) => memory.setKeepers(groups[0], "born"));

    const memoryOf = (name: string): ClaimMemory | undefined => {
        const found = hosts.get(name);
        return found?.up === true ? found.memory : undefined;
    };

    const begin = (): Attempt => {
        const token = `attempt-${attempts.length}`;
        const first = attempts.length === 0;
        const attempt: Attempt = { token, first, receivedAt: now, group: groups[0], grants: new Map(), over: false };
        attempts.push(attempt);
        return attempt;
    };

    /** Lets one keeper answer one attempt. The attempt runs when all its keepers have granted it in the same epoch. */
    const deliver = (attempt: Attempt, place: number): void => {
        const name = attempt.group.hosts[place % attempt.group.hosts.length];
        const answer = attempt.over ? undefined : memoryOf(name)?.claim({
            kind: "claim",
            pool: "orders",
            group: 0,
            since: attempt.group.since,
            id: "id-1",
            token: attempt.token,
            firstAttempt: attempt.first,
            ageMilliseconds: now - attempt.receivedAt,
        }, now);
        if (answer === undefined) {
            return;
        }
        attempt.grants.set(name, { epoch: answer.epoch, granted: answer.verdict === "granted" });
        const grants = attempt.group.hosts.map(keeper => attempt.grants.get(keeper));
        if (grants.every(grant => grant?.granted === true && grant.epoch === grants[0]?.epoch)) {
            attempt.over = true;
            runs += 1;
        }
    };

    const takeFrom = (source: string, memory: ClaimMemory, since: number): boolean => {
        epochs += 1;
        const epoch = `epoch-${epochs}`;
        let offset = 0;
        for (;;) {
            const place = { pool: "orders", group: 0, since, epoch, offset };
            const page = memoryOf(source)?.readPage({ kind: "claim-memory-question", ...place }, now);
            if (page?.available !== true) {
                return false;
            }
            memory.importPage(page, since, epoch, now);
            offset += page.entries.length;
            if (page.last) {
                return true;
            }
        }
    };

    const takeOver = (name: string): void => {
        const memory = memoryOf(name);
        const since = memory?.group()?.since ?? 0;
        memory?.handoverSources()?.some(source => takeFrom(source, memory, since));
    };

    /** All running hosts learn the newest keepers, and the keepers copy the memory if a running host holds it. */
    const heal = (): void => {
        names.forEach(name => memoryOf(name)?.setKeepers(groups[0], "changed"));
        names.forEach(takeOver);
    };

    /** Declares the memory lost when no running host holds it; the previous keepers have stopped by then. */
    const lose = (): void => {
        heal();
        const first = memoryOf(groups[0].hosts[0]);
        const holds = names.some(name => {
            const sources = first?.handoverSources() ?? [];
            return sources.includes(name) && memoryOf(name)?.isReady() === true;
        });
        if (first?.handoverSources() !== undefined && !holds) {
            epochs += 1;
            now += 1;
            first.declareMemoryLost(`epoch-${epochs}`, now);
            heal();
        }
    };

    const restart = (name: string): void => {
        hosts.set(name, host(name));
        hosts.get(name)?.memory.setKeepers(groups[0], "found");
    };

    const steps = {
        begin,
        deliver: (number: number) => {
            const attempt = attempts[number % Math.max(1, attempts.length)];
            if (attempt !== undefined) {
                deliver(attempt, number >> 2);
            }
        },
        /** Runs a new attempt, or an earlier one again, against the newest keepers. */
        attempt: (number: number) => {
            const attempt = number % 2 === 0 ? begin() : attempts[(number >> 1) % Math.max(1, attempts.length)];
            if (attempt !== undefined) {
                attempt.group = groups[0];
                attempt.grants = new Map();
                deliver(attempt, 0);
                deliver(attempt, 1);
            }
        },
        crash: (number: number) => {
            const found = hosts.get(names[number % names.length]);
            if (found !== undefined) {
                found.up = false;
            }
        },
        restart: (number: number) => restart(names[number % names.length]),
        /** The coordinator replaces a keeper that it considers lost, rightly or wrongly. */
        change: (number: number) => {
            const left = names.filter(name => name !== names[number % names.length]);
            revision += 1;
            groups = chooseKeepers(groups, left.map(name => ({ name, zone: name })), revision);
        },
        learn: (number: number) => memoryOf(names[number % names.length])?.setKeepers(groups[0], "changed"),
        takeOver: (number: number) => takeOver(names[number % names.length]),
        heal,
        lose,
    };
    return { steps, runs: () => runs };
};

type StepName = keyof ReturnType<typeof createHistory>["steps"];

const stepNames: StepName[] = [
    "begin",
    "deliver",
    "deliver",
    "deliver",
    "attempt",
    "crash",
    "restart",
    "change",
    "learn",
    "takeOver",
    "heal",
    "heal",
    "lose",
];

const histories = fc.array(fc.tuple(fc.constantFrom(...stepNames), fc.nat(15)), { minLength: 10, maxLength: 40 });

/**
 * Histories that long runs found: a stale memory of the previous keepers, and a grant from before a handover that
 * counted after it.
 */
const knownHistories: Array<[Array<[StepName, number]>]> = [
    [[["change", 4], ["heal", 0], ["attempt", 0], ["restart", 8], ["restart", 0], ["lose", 0], ["attempt", 0]]],
    [[
        ["begin", 0],
        ["deliver", 4],
        ["restart", 4],
        ["heal", 0],
        ["deliver", 0],
        ["change", 0],
        ["lose", 0],
        ["attempt", 0],
    ]],
];

test("an id runs at most once in every history", t => {
    let ran = 0;
    fc.assert(
        fc.property(histories, list => {
            const history = createHistory();
            list.forEach(([step, number]) => history.steps[step](number));
            ran += history.runs();
            return history.runs() <= 1;
        }),
        { seed: 7, numRuns: 5_000, examples: knownHistories },
    );
    t.true(ran > 1_000);
});
