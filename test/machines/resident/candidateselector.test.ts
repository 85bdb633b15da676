/**
 * Targets that have just started: an order, which may run once only, must not be among their first requests while another
 * target can take it, and a target that has joined must get requests soon.
 */
import test from "ava";
import type { TableRoute } from "../../../src/contracts/routing.ts";
import { placeRequest } from "../../../src/decisions/placement.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createCandidateSelector } from "../../../src/machines/resident/candidateselector.ts";
import { createOwnershipCache } from "../../../src/machines/resident/ownershipcache.ts";
import type { RequestContext } from "../../../src/machines/resident/requestcontext.ts";
import { createTargetRegistry } from "../../../src/machines/resident/targetregistry.ts";
import { createTargetStates } from "../../../src/machines/resident/targetstates.ts";
import { createVirtualClock } from "../fakes/clock.ts";

const entryOf = (name: string, warmupMilliseconds = 0) => ({
    name,
    incarnation: "1",
    pool: "p",
    address: name,
    zone: "z",
    slots: 8,
    leaving: false,
    warmupMilliseconds,
});

const setUp = () => {
    const clock = createVirtualClock();
    const common = { clock, log: silentLog, signal: new AbortController().signal };
    const registry = createTargetRegistry({
        decode: ({ value }) => value as ReturnType<typeof entryOf>,
        reachableSince: () => 0,
        ...common,
    });
    const loads = new Map<string, number>();
    const states = createTargetStates({
        registry,
        findPool: () => undefined,
        sharingHosts: () => ({ count: 1, place: 0, isSettled: true }),
        requestsOfOthers: () => undefined,
        recordOwnRequests: () => undefined,
        ...common,
    });
    const put = (name: string, revision: number, warmup?: number): void =>
        registry.applyChanges([{ object: { name, revision, value: entryOf(name, warmup) }, removed: false }]);
    registry.applyList(["a", "b"].map(name => ({ name, revision: 1, value: entryOf(name) })), 1);
    const selector = createCandidateSelector({
        targetStates: states,
        ownerships: createOwnershipCache(clock, silentLog, common.signal),
        requestsOfOthers: name => loads.get(name) ?? 0,
        zone: "z",
        random: () => 0.5,
        clock,
    });
    const select = (kind: TableRoute["kind"]) => {
        const context = {
            route: { kind, objectiveMilliseconds: 600 },
            pool: { name: "p" },
            endAt: clock.now() + 2_000,
            failedTargets: new Set(),
            refusedBy: new Set(),
        } as unknown as RequestContext;
        return selector.usableTargets(context);
    };
    const namesFor = (kind: TableRoute["kind"]): string[] => select(kind).map(({ name }) => name).sort();
    return { clock, states, loads, put, select, namesFor };
};

const startedTargets = [
    { title: "has joined", starts: "c", start: ({ put }: ReturnType<typeof setUp>) => put("c", 2) },
    { title: "tells a warm-up", starts: "b", start: ({ put }: ReturnType<typeof setUp>) => put("b", 2, 3_000) },
    {
        title: "could not be reached",
        starts: "b",
        start: ({ states }: ReturnType<typeof setUp>) => {
            states.ofPool("p").filter(({ target }) => target.name === "b").forEach(states.recordConnectFailure);
        },
    },
];

for (const { title, starts, start } of startedTargets) {
    test(`a target that ${title} first gets requests that may be repeated, and orders after some answers`, async t => {
        const setup = setUp();
        const { clock, states, loads, select, namesFor } = setup;
        start(setup);
        await clock.advance(300);
        t.true(namesFor("idempotent").includes(starts));
        t.false(namesFor("once").includes(starts));
        ["a", "b", "c"].filter(name => name !== starts).forEach(name => loads.set(name, 8));
        const limits = { objectiveMilliseconds: 600, remainingMilliseconds: 2_000 };
        const placed = placeRequest(select("idempotent"), limits, () => 0.5);
        t.is(placed.candidate.name, starts);
        loads.set(starts, 3);
        t.not(placeRequest(select("idempotent"), limits, () => 0.5).candidate.name, starts);
        ["a", "b", "c"].filter(name => name !== starts).forEach(name => loads.set(name, 80));
        t.true(namesFor("once").includes(starts));
        loads.clear();
        states.ofPool("p").filter(({ target }) => target.name === starts).forEach(state =>
            states.recordMeasure(state, { answered: 4, serviceMilliseconds: 400, failed: 0 })
        );
        t.true(namesFor("once").includes(starts));
    });
}

test("a target without a start or failures is used with all its slots", t => {
    const { select } = setUp();
    t.deepEqual(select("idempotent").map(({ slots }) => slots), [8, 8]);
});

test("a target that has joined gets a request while faster targets have free slots", t => {
    const setup = setUp();
    setup.states.ofPool("p").forEach(({ load }) => {
        for (let count = 0; count < 8; count += 1) {
            load.recordSent();
            load.recordFinished(100, 0);
        }
    });
    setup.put("c", 2);
    const limits = { objectiveMilliseconds: 600, remainingMilliseconds: 2_000 };
    t.is(placeRequest(setup.select("idempotent"), limits, () => 0.5).candidate.name, "c");
});
