/**
 * A fake platform that keeps objects in memory and has conditional writes. It can be made unreachable, and can lose the
 * reply to a write.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import { PlatformError } from "../../../src/contracts/errors.ts";
import type { ObjectKind, StoredObject } from "../../../src/contracts/objects.ts";
import type { PlatformLink } from "../../../src/links/platform.ts";

export type FakePlatform = {
    /** Returns the link of one host. `isCut` tells whether its connection is cut now. */
    linkOf: (clock: Clock, isCut: () => boolean) => Pick<PlatformLink, "get" | "list" | "put">;
    /** Writes an object without a condition, as an operator. */
    write: (kind: ObjectKind, name: string, value: unknown) => void;
    read: (kind: ObjectKind, name: string) => unknown;
    /** Number of writes of the kind that took effect. */
    writes: (kind: ObjectKind) => number;
    setUnreachable: (isUnreachable: boolean) => void;
    /** Loses the reply to the next write of the kind; the write itself takes effect. */
    loseReply: (kind: ObjectKind) => void;
};

const networkMilliseconds = 2;
const timeoutMilliseconds = 200;

/** Creates an empty platform. */
export const createFakePlatform = (clock: Clock): FakePlatform => {
    const objects = new Map<string, StoredObject>();
    const written = new Map<ObjectKind, number>();
    let position = 0;
    let isUnreachable = false;
    let lostKind: ObjectKind | undefined;

    const store = (kind: ObjectKind, name: string, value: unknown, writeId: string): StoredObject => {
        position += 1;
        const item = { kind, name, version: position, writeId, deleted: false, value: structuredClone(value) };
        objects.set(`${kind}/${name}`, item);
        written.set(kind, (written.get(kind) ?? 0) + 1);
        return item;
    };

    const call = <Answer>(
        hostClock: Clock,
        isCut: () => boolean,
        make: () => Answer,
        losesReply: () => boolean = () => false,
    ): Promise<Answer> =>
        new Promise((resolve, reject) => {
            const fail = (): void => reject(new PlatformError("The platform did not answer."));
            if (isUnreachable || isCut()) {
                hostClock.after(timeoutMilliseconds, fail);
                return;
            }
            clock.after(networkMilliseconds, () => {
                const lost = losesReply();
                const answer = make();
                hostClock.after(
                    lost ? timeoutMilliseconds : networkMilliseconds,
                    () => lost ? fail() : resolve(answer),
                );
            });
        });

    return {
        linkOf: (hostClock, isCut) => ({
            get: (kind, name) => call(hostClock, isCut, () => objects.get(`${kind}/${name}`)),
            list: after =>
                call(hostClock, isCut, () => ({
                    position,
                    items: [...objects.values()].filter(item => item.version > after),
                })),
            put: request =>
                call(hostClock, isCut, () => {
                    const current = objects.get(`${request.kind}/${request.name}`);
                    if ((current?.version ?? 0) !== request.ifVersion) {
                        return { result: "conflict" as const, current };
                    }
                    const item = store(request.kind, request.name, request.value, request.writeId);
                    return { result: "written" as const, version: item.version };
                }, () => {
                    const lost = lostKind === request.kind;
                    lostKind = lost ? undefined : lostKind;
                    return lost;
                }),
        }),
        write: (kind, name, value) => {
            store(kind, name, value, `by-hand-${position}`);
        },
        read: (kind, name) => objects.get(`${kind}/${name}`)?.value,
        writes: kind => written.get(kind) ?? 0,
        setUnreachable: unreachable => {
            isUnreachable = unreachable;
        },
        loseReply: kind => {
            lostKind = kind;
        },
    };
};
