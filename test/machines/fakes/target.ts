/**
 * A fake target that applies the real grant rules by a clock of its own, behind a network that can be cut. It can
 * freeze with unanswered questions, thaw, crash and restart.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import type { Grant, GrantAnswer } from "../../../src/contracts/grant.ts";
import type { Target } from "../../../src/contracts/pool.ts";
import { type HeldGrant, takeGrant } from "../../../src/decisions/grant.ts";
import type { TargetLink } from "../../../src/links/targets.ts";

export type FakeTarget = {
    target: Target;
    /** The link of one host to the target. While `isCut` returns true, nothing passes the network. */
    linkOf: (clock: Clock, isCut: () => boolean) => TargetLink;
    /** Whether the target would serve the slot if it ran now. */
    owns: (slot: number) => boolean;
    isRunning: () => boolean;
    freeze: () => void;
    thaw: () => void;
    crash: () => void;
    restart: () => void;
    drain: () => void;
    /** Delays each answer by the given time. */
    slow: (milliseconds: number) => void;
};

type Question = { answer: () => void };

const networkMilliseconds = 1;
const clockOffsetMilliseconds = 77_000;

/** Creates a running target. `clock` drives the network and the clock of the target. */
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
    let heldGrant: HeldGrant | undefined;
    let incarnation = 1;
    let state: "running" | "frozen" | "crashed" = "running";
    let isDraining = false;
    let slowMilliseconds = 0;
    let unanswered: Question[] = [];

    const clockReading = (): number => clock.now() + clockOffsetMilliseconds;

    const answerGrant = (grant: Grant): GrantAnswer => {
        const decision = takeGrant(heldGrant, grant, `life-${incarnation}`);
        heldGrant = decision.held;
        return {
            accepted: decision.refusal === undefined,
            ...(decision.refusal === undefined ? {} : { refusal: decision.refusal }),
            clock: clockReading(),
            incarnation: `life-${incarnation}`,
            revision: heldGrant?.revision ?? 0,
            releasing: [],
        };
    };

    const ask = <Answer>(
        hostClock: Clock,
        isCut: () => boolean,
        timeoutMilliseconds: number,
        createAnswer: () => Answer,
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
                    const value = createAnswer();
                    clock.after(networkMilliseconds + slowMilliseconds, () => {
                        if (!isCut()) {
                            hostClock.after(0, () => resolve(value));
                        }
                    });
                };
                if (state === "frozen") {
                    unanswered.push({ answer });
                    return;
                }
                answer();
            });
        });

    return {
        target,
        linkOf: (hostClock, isCut) =>
            ({
                grant: (grant: Grant, timeout: number) => ask(hostClock, isCut, timeout, () => answerGrant(grant)),
                health: (timeout: number) =>
                    ask(hostClock, isCut, timeout, () => ({
                        state: isDraining ? "draining" as const : "ready" as const,
                        clock: clockReading(),
                        incarnation: `life-${incarnation}`,
                    })),
                load: (timeout: number) => ask(hostClock, isCut, timeout, () => ({ running: 0, queued: 0 })),
                close: () => Promise.resolve(),
            }) as unknown as TargetLink,
        owns: slot =>
            state !== "crashed" && heldGrant !== undefined && clockReading() < heldGrant.validUntil
            && heldGrant.slots.has(slot),
        isRunning: () => state === "running",
        freeze: () => {
            state = "frozen";
        },
        thaw: () => {
            state = "running";
            const questions = unanswered;
            unanswered = [];
            questions.forEach(entry => entry.answer());
        },
        crash: () => {
            state = "crashed";
            unanswered = [];
        },
        restart: () => {
            state = "running";
            incarnation += 1;
            heldGrant = undefined;
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
