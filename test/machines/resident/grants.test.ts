/**
 * Ownership that changes while a grant is prepared or in flight: a range must not be granted after it changed, and the
 * hold that a grant in flight may create must be taken into account.
 */
import test from "ava";
import type { OwnedRange } from "../../../src/contracts/ownership.ts";
import type { OwnershipCallResult } from "../../../src/contracts/resident.ts";
import type { RegisteredTarget } from "../../../src/contracts/routing.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createGrants } from "../../../src/machines/resident/grants.ts";
import { createVirtualClock } from "../fakes/clock.ts";

const owner = { target: "a", incarnation: "1" };
const range: OwnedRange = { from: 100, to: 199, owner, fence: 86, predecessors: [] };
const target: RegisteredTarget = {
    name: owner.target,
    incarnation: owner.incarnation,
    pool: "stock",
    address: "10.0.0.1:1",
    zone: "z",
    slots: 3,
    leaving: false,
    warmupMilliseconds: 0,
};
const holdMilliseconds = 4_000;

const setUp = () => {
    const clock = createVirtualClock();
    const state = { isCurrent: true, sent: 0, session: 0 };
    const answers: Array<(result: OwnershipCallResult) => void> = [];
    const suspects: string[] = [];
    const grants = createGrants({
        link: {
            grant: () => {
                state.sent += 1;
                return new Promise(resolve => answers.push(resolve));
            },
            release: () => Promise.resolve({ result: "done", handover: undefined }),
            session: () => state.session,
            close: () => undefined,
        },
        findTarget: () => target,
        mayGrant: () => true,
        isCurrent: () => state.isCurrent,
        onHigherFence: () => undefined,
        onSuspect: suspect => {
            suspects.push(suspect.target);
            return Promise.resolve();
        },
        holdMilliseconds,
        clock,
        log: silentLog,
        metrics: createMetrics(),
    });
    const answer = async (result: OwnershipCallResult): Promise<void> => {
        answers.shift()?.(result);
        await clock.advance(1);
    };
    return { clock, state, grants, answer, suspects };
};

test("a hold does not expire while its grant is in flight", async t => {
    const { clock, grants, answer } = setUp();
    void grants.grant(range);
    await clock.advance(1);
    t.is(grants.holdExpiresAt(owner, range, -Infinity), Infinity);
    t.is(grants.holdExpiresAt(owner, { from: 200, to: 300 }, -Infinity), -Infinity);
    await answer({ result: "unknown" });
    const expiresAt = grants.holdExpiresAt(owner, range, -Infinity);
    t.true(expiresAt >= clock.now() + holdMilliseconds && expiresAt < Infinity);
});

test("a grant that certainly did not arrive creates no hold", async t => {
    const { clock, grants, answer } = setUp();
    void grants.grant(range);
    await clock.advance(1);
    await answer({ result: "unreachable" });
    t.is(grants.holdExpiresAt(owner, range, -Infinity), -Infinity);
});

test("a range that the ownership no longer has is not granted", async t => {
    const { clock, grants, state } = setUp();
    state.isCurrent = false;
    void grants.grant(range);
    await clock.advance(1);
    t.is(state.sent, 0);
});

const breaks = [
    { title: "a grant was refused at the connection", result: "unreachable" },
    { title: "a grant got no answer", result: "unknown" },
] as const;

for (const { title, result } of breaks) {
    test(`${title}: a fence that may have arrived is not granted again, a new one is`, async t => {
        const { clock, grants, state, answer, suspects } = setUp();
        void grants.grant(range);
        await clock.advance(1);
        await answer({ result: "done", handover: undefined });
        void grants.grant(range);
        await clock.advance(1);
        await answer({ result });
        void grants.grant(range);
        await clock.advance(1);
        t.is(state.sent, 2);
        t.deepEqual(suspects, ["a"]);
        const renewed = { ...range, fence: 87 };
        void grants.grant(renewed);
        await clock.advance(1);
        t.is(state.sent, 3);
        await answer({ result: "done", handover: undefined });
        void grants.grant(renewed);
        await clock.advance(1);
        t.is(state.sent, 4);
        t.deepEqual(suspects, ["a"]);
    });
}

test("a fence that certainly never arrived is granted again after a failure", async t => {
    const { clock, grants, state, answer, suspects } = setUp();
    void grants.grant(range);
    await clock.advance(1);
    await answer({ result: "unreachable" });
    void grants.grant(range);
    await clock.advance(1);
    t.is(state.sent, 2);
    t.deepEqual(suspects, []);
});

test("a fence is not granted again once a connection has closed without notice, also while it cannot be renewed", async t => {
    const { clock, grants, state, answer, suspects } = setUp();
    void grants.grant(range);
    await clock.advance(1);
    await answer({ result: "done", handover: undefined });
    state.session += 1;
    for (let attempt = 1; attempt <= 3; attempt += 1) {
        void grants.grant(range);
        await clock.advance(100);
        t.is(state.sent, 1);
        t.is(suspects.length, attempt);
    }
    void grants.grant({ ...range, fence: 87 });
    await clock.advance(1);
    t.is(state.sent, 2);
});

test("a target that closes its connection after each grant gets new fences ever less often", async t => {
    const { clock, grants, state, answer, suspects } = setUp();
    let fence = 87;
    for (let second = 0; second < 300; second += 1) {
        void grants.grant({ ...range, fence });
        await clock.advance(1);
        await answer({ result: "done", handover: undefined });
        fence = 87 + suspects.length;
        state.session += 1;
        await clock.advance(1_000);
    }
    t.true(suspects.length >= 3 && suspects.length <= 7, `${suspects.length} renewals in 300 s`);
});
