/**
 * What a host lends of its part and keeps for itself: too much, and its own requests wait, or two hosts use the same
 * connections.
 */
import test from "ava";
import { grantedConnections, type LenderState, ownConnections } from "../../src/decisions/partlending.ts";

type Case = { title: string; state: Partial<LenderState>; asked?: number; granted: number; own: number };

const idle: LenderState = { part: 10, lent: 0, inUse: 0, isSettled: true, mayHaveLent: false };

const cases: Case[] = [
    { title: "an idle host", state: {}, granted: 4, own: 10 },
    { title: "an idle host that is asked for all", state: {}, asked: 100, granted: 5, own: 10 },
    { title: "a host that has lent some", state: { lent: 3 }, granted: 2, own: 7 },
    { title: "a host that has lent half", state: { lent: 5 }, granted: 0, own: 5 },
    { title: "a host that uses most of its part", state: { inUse: 7 }, granted: 1, own: 10 },
    { title: "a host that uses its part but two", state: { inUse: 8 }, granted: 0, own: 10 },
    { title: "a host that has borrowed", state: { inUse: 14 }, granted: 0, own: 10 },
    { title: "a host whose part has shrunk below what it lent", state: { part: 4, lent: 5 }, granted: 0, own: 0 },
    { title: "a host with a part of two", state: { part: 2 }, granted: 0, own: 2 },
    { title: "a host with a part of three", state: { part: 3 }, granted: 0, own: 3 },
    { title: "a host with a part of four", state: { part: 4 }, granted: 1, own: 4 },
    { title: "a host without a part", state: { part: 0 }, granted: 0, own: 0 },
    { title: "a host that has just joined", state: { isSettled: false }, granted: 0, own: 10 },
    { title: "a host that was started again", state: { mayHaveLent: true }, granted: 0, own: 5 },
    {
        title: "a host of an odd part that was started again",
        state: { part: 7, mayHaveLent: true },
        granted: 0,
        own: 4,
    },
];

for (const { title, state, asked = 4, granted, own } of cases) {
    test(`${title} lends ${granted} of ${asked} and may use ${own}`, t => {
        t.is(grantedConnections({ ...idle, ...state }, asked), granted);
        t.is(ownConnections({ ...idle, ...state }), own);
    });
}

test("what a host lends and what it uses after it was started again is never more than its part", t => {
    for (let part = 0; part <= 100; part += 1) {
        const state = { ...idle, part };
        const lent = grantedConnections(state, 100);
        t.true(lent + ownConnections({ ...state, lent }) <= part);
        t.true(lent + ownConnections({ ...state, mayHaveLent: true }) <= part);
    }
});
