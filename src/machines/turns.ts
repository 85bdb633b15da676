/**
 * The regular turn by which a host notices that it runs late, and so that it has more to do than it can.
 */
import type { Clock } from "../contracts/clock.ts";
import { createLoadShedder, type LoadShedder } from "../decisions/loadshedding.ts";
import type { Metrics } from "../links/metrics.ts";

export type TurnsOptions = {
    /** Standing lateness from which requests are refused. */
    latenessMilliseconds: number;
    /** A number from 0 up to, not including, 1. */
    unit: () => number;
    clock: Clock;
    metrics: Metrics;
    signal: AbortSignal;
};

export type WatchTurnsOptions = {
    /** Called with the lateness of each turn and the time since the one before, in milliseconds. */
    onTurn: (lateMilliseconds: number, passedMilliseconds: number) => void;
    clock: Clock;
    signal: AbortSignal;
};

const turnMilliseconds = 50;

/** Takes a turn at a regular time until the signal aborts, and tells how late it came. */
export const watchTurns = async ({ onTurn, clock, signal }: WatchTurnsOptions): Promise<void> => {
    let lastAt = clock.now();
    while (!signal.aborted) {
        await clock.sleep(turnMilliseconds, signal);
        const passed = clock.now() - lastAt;
        lastAt += passed;
        onTurn(Math.max(0, passed - turnMilliseconds), passed);
    }
};

/** Judges by its own turns, until the signal aborts, how many requests the host can take. */
export const createTurns = (options: TurnsOptions): Pick<LoadShedder, "refuses"> => {
    const { clock, metrics, signal } = options;
    const pressure = createLoadShedder({
        random: options.unit,
        toleratedLatenessMilliseconds: options.latenessMilliseconds,
    });

    const onTurn = (lateMilliseconds: number, passedMilliseconds: number): void => {
        const before = pressure.refusedShare();
        pressure.recordTick(lateMilliseconds, passedMilliseconds);
        if (before > 0 || pressure.refusedShare() > 0) {
            metrics.gauge("refused-share", pressure.refusedShare());
        }
    };

    void watchTurns({ onTurn, clock, signal });
    return pressure;
};
