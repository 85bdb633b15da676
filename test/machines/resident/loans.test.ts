/**
 * Loans of connections between a borrower and a lender. Guards against connections that both use, and against loans that
 * never end.
 */
import test from "ava";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createLoans } from "../../../src/machines/resident/loans.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";

const setUp = () => {
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    const { signal } = new AbortController();
    const state = { granted: 2, isWithinPart: false };
    const changed: string[] = [];
    const createHost = (name: string, other: string, grant: (asked: number) => number) => {
        const loans = createLoans({
            others: () => [{ name: other, address: other, zone: "z", processor: 1 }],
            grant: (...[, asked]) => grant(asked),
            isWithinPart: () => state.isWithinPart,
            onChange: target => changed.push(`${name} ${target}`),
            dial: network.dialerOf(name),
            random: () => 0,
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal,
        });
        network.listen(name, { "/loans": loans.service });
        return loans;
    };
    const borrower = createHost("a", "b", () => 0);
    const lender = createHost("b", "a", asked => Math.min(asked, state.granted));
    const figures = () => [borrower.borrowed("t", clock.now()), lender.lent("t")];
    return { clock, network, state, changed, borrower, lender, figures };
};

test("a loan is used until it runs out, and not by requests that last longer", async t => {
    const { clock, borrower, changed, figures } = setUp();
    t.deepEqual(figures(), [0, 0]);
    borrower.want("t");
    const askedAt = clock.now() + 100;
    await clock.advance(200);
    t.deepEqual(figures(), [2, 2]);
    t.deepEqual(changed, ["b t", "a t"]);
    t.is(borrower.borrowed("t", askedAt + 5_000), 2);
    t.is(borrower.borrowed("t", askedAt + 5_001), 0);
    t.is(borrower.borrowed("u", clock.now()), 0);
    await clock.advance(4_950);
    t.deepEqual(figures(), [0, 2]);
    await clock.advance(600);
    t.deepEqual(figures(), [0, 0]);
});

test("what is not needed for a second goes back at once", async t => {
    const { clock, state, borrower, figures } = setUp();
    borrower.want("t");
    await clock.advance(1_000);
    t.deepEqual(figures(), [2, 2]);
    state.isWithinPart = true;
    await clock.advance(1_200);
    t.deepEqual(figures(), [0, 0]);
});

test("what is lent stays lent while the borrower is cut off, until it has run out", async t => {
    const { clock, network, state, borrower, figures } = setUp();
    borrower.want("t");
    await clock.advance(200);
    network.silence("a");
    state.isWithinPart = true;
    await clock.advance(2_000);
    t.deepEqual(figures(), [0, 2]);
    await clock.advance(3_600);
    t.deepEqual(figures(), [0, 0]);
});

test("a loan that arrives after it has run out is not used", async t => {
    const { clock, network, borrower, figures } = setUp();
    network.silence("b");
    borrower.want("t");
    await clock.advance(5_200);
    network.heal("b");
    await clock.advance(500);
    t.is(figures()[0], 0);
});

test("what is lent by a host that answers late goes back", async t => {
    const clock = createVirtualClock();
    const sent: unknown[] = [];
    let answer: (value: unknown) => boolean = () => false;
    const borrower = createLoans({
        others: () => [{ name: "b", address: "b", zone: "z", processor: 1 }],
        grant: () => 0,
        isWithinPart: () => false,
        onChange: () => t.fail(),
        dial: (...[, , listener]) => {
            answer = listener.onFrame;
            return {
                send: value => sent.push(value),
                sendFrame: () => undefined,
                isOpen: () => true,
                queuedBytes: () => 0,
                close: () => undefined,
            };
        },
        random: () => 0,
        clock,
        log: silentLog,
        metrics: createMetrics(),
        signal: new AbortController().signal,
    });
    borrower.want("t");
    await clock.advance(1_500);
    t.deepEqual(sent, [{ kind: "ask", id: 1, target: "t", connections: 4 }]);
    t.true(answer({ kind: "lent", id: 1, connections: 2 }));
    t.deepEqual(sent.slice(1), [{ kind: "back", ids: [1] }]);
    t.is(borrower.borrowed("t", clock.now()), 0);
});

test("a host that refuses is asked again only after a second", async t => {
    const { clock, state, borrower, figures } = setUp();
    state.granted = 0;
    borrower.want("t");
    await clock.advance(150);
    state.granted = 2;
    borrower.want("t");
    await clock.advance(500);
    t.deepEqual(figures(), [0, 0]);
    await clock.advance(600);
    borrower.want("t");
    await clock.advance(200);
    t.deepEqual(figures(), [2, 2]);
});

test("a host whose address is none keeps no other from being asked, nor loans from going back", async t => {
    const { clock, network, state, lender } = setUp();
    const failures: string[] = [];
    const dial = network.dialerOf("c");
    const borrower = createLoans({
        others: () => ["none", "b"].map(name => ({ name, address: name, zone: "z", processor: 1 })),
        grant: () => 0,
        isWithinPart: () => state.isWithinPart,
        onChange: () => undefined,
        dial: (address, ...rest) => {
            if (address === "none") {
                throw new Error("Invalid URL");
            }
            return dial(address, ...rest);
        },
        random: () => 0,
        clock,
        log: { ...silentLog, error: event => failures.push(event) },
        metrics: createMetrics(),
        signal: new AbortController().signal,
    });
    borrower.want("t");
    await clock.advance(150);
    borrower.want("t");
    await clock.advance(200);
    t.is(borrower.borrowed("t", clock.now()), 2);
    state.isWithinPart = true;
    await clock.advance(1_500);
    t.deepEqual([borrower.borrowed("t", clock.now()), lender.lent("t")], [0, 0]);
    t.deepEqual(failures, ["task-failed"]);
});

const malformed: unknown[] = [
    undefined,
    {},
    { kind: "ask", id: 1, target: "t" },
    { kind: "ask", id: 1, target: "t", connections: 0 },
    { kind: "ask", id: -1, target: "t", connections: 1 },
    { kind: "back", ids: "all" },
];

for (const message of malformed) {
    test(`a lender refuses ${JSON.stringify(message)}`, t => {
        const { lender, figures } = setUp();
        const connection = {
            send: () => t.fail(),
            sendFrame: () => undefined,
            isOpen: () => true,
            queuedBytes: () => 0,
            close: () => undefined,
        };
        t.false(lender.service(connection).onFrame(message));
        t.is(figures()[1], 0);
    });
}

test("a lender grants one ask of an id, and takes back what was lent for it alone", t => {
    const { lender } = setUp();
    const sent: unknown[] = [];
    const listener = lender.service({
        send: value => sent.push(value),
        sendFrame: () => undefined,
        isOpen: () => true,
        queuedBytes: () => 0,
        close: () => undefined,
    });
    const ask = (id: number): boolean => listener.onFrame({ kind: "ask", id, target: "t", connections: 4 });
    ask(1);
    ask(1);
    ask(2);
    t.is(lender.lent("t"), 4);
    listener.onFrame({ kind: "back", ids: [1, 3] });
    t.is(lender.lent("t"), 2);
    listener.onFrame({ kind: "back", ids: [1] });
    t.is(lender.lent("t"), 2);
    t.deepEqual(sent, [
        { kind: "lent", id: 1, connections: 2 },
        { kind: "lent", id: 1, connections: 0 },
        { kind: "lent", id: 2, connections: 2 },
    ]);
});
