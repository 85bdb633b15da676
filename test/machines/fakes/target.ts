/**
 * A fake target: the real rules of grants behind a network that can be cut, with its own clock. It can freeze with
 * questions in its socket, thaw, crash and return.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import type { Grant, GrantAnswer } from "../../../src/contracts/grant.ts";
import type { Target } from "../../../src/contracts/pool.ts";
import { type HeldGrant, takeGrant } from "../../../src/decisions/grant.ts";
import type { TargetLink } from "../../../src/links/targets.ts";

export type FakeTarget = {
    target: Target;
    /** The link of one host; `isCut` says whether nothing passes now. */
    linkOf: (clock: Clock, isCut: () => boolean) => TargetLink;
    /** Whether it would serve the slot if it ran now. */
    owns: (slot: number) => boolean;
    isRunning: () => boolean;
    freeze: () => void;
    thaw: () => void;
    crash: () => void;
    restart: () => void;
    drain: () => void;
    /** Delay of each answer. */
    slow: (milliseconds: number) => void;
};

type Question = { answer: () => void };

const networkMilliseconds = 1;
const clockOffsetMilliseconds = 77_000;

/** Creates a running target of the pool. */
export const createFakeTarget = (name: string, clock: Clock): FakeTarget => {
    const target: Target = {
        name,
        address: "127.0.0.1:1",
        zone: "zone-0",
        concurrency: 3,
        connections: 10,
        speed: 1,
        leaving: false,
    };
    let held: HeldGrant | undefined;
    let incarnation = 1;
    let state: "running" | "frozen" | "crashed" = "running";
    let isDraining = false;
    let slowMilliseconds = 0;
    let waiting: Question[] = [];

    const reading = (): number => clock.now() + clockOffsetMilliseconds;

    const answerGrant = (grant: Grant): GrantAnswer => {
        const decision = takeGrant(held, grant, `life-${incarnation}`);
        held = decision.held;
        return {
            accepted: decision.refusal === undefined,
            ...(decision.refusal === undefined ? {} : { refusal: decision.refusal }),
            clock: reading(),
            incarnation: `life-${incarnation}`,
            revision: held?.revision ?? 0,
            releasing: [],
        };
    };

    const question = <Answer>(
        hostClock: Clock,
        isCut: () => boolean,
        timeoutMilliseconds: number,
        make: () => Answer,
    ): Promise<Answer | undefined> =>
        new Promise(resolve => {
            hostClock.after(timeoutMilliseconds, () => resolve(undefined));
            if (isCut()) {
                return;
            }
            clock.after(networkMilliseconds, () => {
                if (state === "crashed") {
                    hostClock.after(0, () => resolve(undefined));
                    return;
                }
                const answer = (): void => {
                    const value = make();
                    clock.after(networkMilliseconds + slowMilliseconds, () => {
                        if (!isCut()) {
                            hostClock.after(0, () => resolve(value));
                        }
                    });
                };
                if (state === "frozen") {
                    waiting.push({ answer });
                    return;
                }
                answer();
            });
        });

    return {
        target,
        linkOf: (hostClock, isCut) =>
            ({
                grant: (grant: Grant, timeout: number) => question(hostClock, isCut, timeout, () => answerGrant(grant)),
                health: (timeout: number) =>
                    question(hostClock, isCut, timeout, () => ({
                        state: isDraining ? "draining" as const : "ready" as const,
                        clock: reading(),
                        incarnation: `life-${incarnation}`,
                    })),
                load: (timeout: number) => question(hostClock, isCut, timeout, () => ({ running: 0, queued: 0 })),
                close: () => Promise.resolve(),
            }) as unknown as TargetLink,
        owns: slot => state !== "crashed" && held !== undefined && reading() < held.validUntil && held.slots.has(slot),
        isRunning: () => state === "running",
        freeze: () => {
            state = "frozen";
        },
        thaw: () => {
            state = "running";
            const questions = waiting;
            waiting = [];
            questions.forEach(entry => entry.answer());
        },
        crash: () => {
            state = "crashed";
            waiting = [];
        },
        restart: () => {
            state = "running";
            incarnation += 1;
            held = undefined;
            isDraining = false;
        },
        drain: () => {
            isDraining = true;
        },
        slow: milliseconds => {
            slowMilliseconds = milliseconds;
        },
    };
};
