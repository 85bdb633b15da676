/**
 * A fake platform: objects in memory with conditional writes. It can be out, and lose the reply of a write.
 */
import type { Clock } from "../../../src/contracts/clock.ts";
import { PlatformError } from "../../../src/contracts/errors.ts";
import type { ObjectKind, StoredObject } from "../../../src/contracts/objects.ts";
import type { PlatformLink } from "../../../src/links/platform.ts";

export type FakePlatform = {
    linkOf: (clock: Clock, isCut: () => boolean) => Pick<PlatformLink, "get" | "list" | "put">;
    write: (kind: ObjectKind, name: string, value: unknown) => void;
    read: (kind: ObjectKind, name: string) => unknown;
    /** Writes that took effect, by kind. */
    writes: (kind: ObjectKind) => number;
    setUnreachable: (isOut: boolean) => void;
    /** Loses the reply of the next write of the kind. */
    loseReply: (kind: ObjectKind) => void;
};

const networkMilliseconds = 2;
const timeoutMilliseconds = 200;

/** Creates an empty platform. */
export const createFakePlatform = (clock: Clock): FakePlatform => {
    const objects = new Map<string, StoredObject>();
    const written = new Map<ObjectKind, number>();
    let position = 0;
    let isOut = false;
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
            if (isOut || isCut()) {
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
        setUnreachable: out => {
            isOut = out;
        },
        loseReply: kind => {
            lostKind = kind;
        },
    };
};
