/**
 * Child processes of the bench: it starts them, exchanges messages with them over IPC, measures them through /proc and
 * ends each by its process id.
 */
import { type ChildProcess, fork, spawn } from "node:child_process";
import { createWriteStream, readFileSync } from "node:fs";

/** Processor time and memory that a process used. */
export type ProcessUsage = { cpuSeconds: number; residentMegabytes: number; peakMegabytes: number };

export type Child = {
    pid: number;
    /** Resolves with the exit code, or with the name of the signal that ended the process. */
    exited: Promise<string>;
    isRunning: () => boolean;
    signal: (name: NodeJS.Signals) => void;
    readUsage: () => ProcessUsage | undefined;
};

/** A child process that answers messages over IPC. */
export type BenchWorker<Question, Answer> = Child & { ask: (question: Question) => Promise<Answer> };

const clockTicksPerSecond = 100;
const kilobytesPerMegabyte = 1_024;

const readProcessUsage = (pid: number): ProcessUsage | undefined => {
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

/** Kills all child processes when this process exits or receives SIGINT or SIGTERM. */
export const killChildrenOnExit = (): void => {
    process.on("exit", () => runningChildren.forEach(child => child.kill("SIGKILL")));
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
        process.on(signal, () => process.exit(2));
    }
};

const createChild = (child: ChildProcess): Child => {
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
        readUsage: () => running ? readProcessUsage(pid) : undefined,
    };
};

/** Starts a program without an IPC channel and appends its output to a file. */
export const startProgram = (file: string, programArguments: string[], logFile: string): Child => {
    const child = spawn(process.execPath, [file, ...programArguments], { stdio: ["ignore", "pipe", "pipe"] });
    const log = createWriteStream(logFile, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    return createChild(child);
};

type AnswerMessage = { id: number; answer: unknown };

/** Starts a worker process of the bench. `ask` sends it a question and resolves with the answer. */
export const startWorker = <Question, Answer>(file: string): BenchWorker<Question, Answer> => {
    const child = fork(file, [], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
    const pendingAnswers = new Map<number, (answer: Answer) => void>();
    let nextId = 1;
    child.on("message", (message: AnswerMessage) => {
        pendingAnswers.get(message.id)?.(message.answer as Answer);
        pendingAnswers.delete(message.id);
    });
    return {
        ...createChild(child),
        ask: question => {
            const id = nextId;
            nextId += 1;
            return new Promise(resolve => {
                pendingAnswers.set(id, resolve);
                child.send({ id, question });
            });
        },
    };
};

/** Answers the messages of the parent process. Exits when the parent disconnects. */
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
