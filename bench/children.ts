/**
 * Child processes of the bench: started by it, told and asked over IPC, measured through /proc, and ended by their own
 * process id.
 */
import { type ChildProcess, fork, spawn } from "node:child_process";
import { createWriteStream, readFileSync } from "node:fs";

/** Processor time and memory of a process. */
export type ProcessUsage = { cpuSeconds: number; residentMegabytes: number; peakMegabytes: number };

export type Child = {
    pid: number;
    /** Resolves with the exit code, or the name of the signal that ended it. */
    exited: Promise<string>;
    isRunning: () => boolean;
    signal: (name: NodeJS.Signals) => void;
    readUsage: () => ProcessUsage | undefined;
};

/** A child that answers messages. */
export type BenchWorker<Question, Answer> = Child & { ask: (question: Question) => Promise<Answer> };

const clockTicksPerSecond = 100;
const kilobytesPerMegabyte = 1_024;

const readFigures = (pid: number): ProcessUsage | undefined => {
    try {
        const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        const megabytes = (name: string): number =>
            Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / kilobytesPerMegabyte;
        return {
            cpuSeconds: (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond,
            residentMegabytes: megabytes("VmRSS"),
            peakMegabytes: megabytes("VmHWM"),
        };
    }
    catch {
        return undefined;
    }
};

const runningChildren = new Set<ChildProcess>();

/** Ends all children with this process, whatever ends it. */
export const killChildrenOnExit = (): void => {
    process.on("exit", () => runningChildren.forEach(child => child.kill("SIGKILL")));
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
        process.on(signal, () => process.exit(2));
    }
};

const wrap = (child: ChildProcess): Child => {
    const pid = child.pid ?? 0;
    let running = true;
    runningChildren.add(child);
    const ended = new Promise<string>(resolve => {
        child.once("exit", (code, signal) => {
            running = false;
            runningChildren.delete(child);
            resolve(signal ?? String(code));
        });
    });
    return {
        pid,
        exited: ended,
        isRunning: () => running,
        signal: name => {
            if (running) {
                child.kill(name);
            }
        },
        readUsage: () => running ? readFigures(pid) : undefined,
    };
};

/** Starts a program of its own kind, whose output goes to a file. */
export const startProgram = (file: string, programArguments: string[], logFile: string): Child => {
    const child = spawn(process.execPath, [file, ...programArguments], { stdio: ["ignore", "pipe", "pipe"] });
    const log = createWriteStream(logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    return wrap(child);
};

type Reply = { id: number; answer: unknown };

/** Starts a part of the bench that answers messages. */
export const startWorker = <Question, Answer>(file: string): BenchWorker<Question, Answer> => {
    const child = fork(file, [], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
    const waiting = new Map<number, (answer: Answer) => void>();
    let nextId = 1;
    child.on("message", (message: Reply) => {
        waiting.get(message.id)?.(message.answer as Answer);
        waiting.delete(message.id);
    });
    return {
        ...wrap(child),
        ask: question => {
            const id = nextId;
            nextId += 1;
            return new Promise(resolve => {
                waiting.set(id, resolve);
                child.send({ id, question });
            });
        },
    };
};

/** Answers the messages of the process that started this one; ends with it. */
export const answerParentMessages = <Question, Answer>(answer: (question: Question) => Promise<Answer>): void => {
    process.on("message", (message: { id: number; question: Question }) => {
        answer(message.question).then(
            result => process.send?.({ id: message.id, answer: result }),
            (error: unknown) => {
                process.stderr.write(`${String(error)}\n`);
                process.exit(1);
            },
        );
    });
    process.on("disconnect", () => process.exit(0));
};
