/**
 * Signals of the operating system. All that would end the process by default are caught, from before the settings are
 * read: the platform may send one as soon as the process exists. Left out are those of a fault of the program itself, such
 * as SIGSEGV, and the real-time signals, which Node can not catch.
 */
import type { Log } from "./logs.ts";

/** What the process does on each signal that it catches. `SIGUSR1` would open Node's debugger. */
const reactions = {
    SIGTERM: "stop",
    SIGINT: "stop",
    SIGQUIT: "stop",
    /** The power fails. */
    SIGPWR: "stop",
    SIGHUP: "reload",
    SIGUSR1: "ignore",
    SIGUSR2: "ignore",
    SIGALRM: "ignore",
    SIGVTALRM: "ignore",
    SIGPROF: "ignore",
    SIGIO: "ignore",
    SIGSTKFLT: "ignore",
    SIGXCPU: "ignore",
} as const satisfies Partial<Record<NodeJS.Signals, "stop" | "reload" | "ignore">>;
type CaughtSignal = keyof typeof reactions;

export type Signals = {
    /** Aborts when the process is asked to stop. */
    stop: AbortSignal;
    /** Logs each signal, those that came before included. */
    logTo: (log: Log) => void;
    /** Sets what a reload does, and does it at once if one was asked for before. */
    onReload: (reload: () => void) => void;
};

/** Catches the signals. Called once, as early as possible. */
export const catchSignals = (): Signals => {
    const stop = new AbortController();
    const unlogged: CaughtSignal[] = [];
    let log: Log | undefined;
    let reload: (() => void) | undefined;
    let isReloadDue = false;

    const write = (signal: CaughtSignal): void => log?.info("signal-received", { signal, reaction: reactions[signal] });

    const receive = (signal: CaughtSignal): void => {
        if (log === undefined) {
            unlogged.push(signal);
        }
        write(signal);
        if (reactions[signal] === "stop") {
            stop.abort();
        }
        if (reactions[signal] === "reload") {
            isReloadDue = reload === undefined;
            reload?.();
        }
    };

    for (const signal of Object.keys(reactions) as CaughtSignal[]) {
        process.on(signal, () => receive(signal));
    }

    return {
        stop: stop.signal,
        logTo: newLog => {
            log = newLog;
            unlogged.splice(0).forEach(write);
        },
        onReload: newReload => {
            reload = newReload;
            if (isReloadDue) {
                isReloadDue = false;
                newReload();
            }
        },
    };
};
