/**
 * The handshake of a link between hosts. Each end sends a hello with a fresh challenge, then proves over both hellos
 * that it holds a shared key. A proof names its sender's part in the link, so that it can not be sent back.
 */
import { pack, unpack } from "msgpackr";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { WebSocket } from "ws";
import type { Clock } from "../contracts/clock.ts";
import { type Hello, helloSchema, proofSchema, protocolVersion } from "../contracts/messages.ts";

/** Which end of a link a host is. */
export const linkRoles = { dialer: "dialer", acceptor: "acceptor" } as const;
export type LinkRole = (typeof linkRoles)[keyof typeof linkRoles];

/** Why a link was closed or refused. Each has a counter, `peer-closed{reason=...}`. */
export const closeReasons = {
    malformedFrame: "malformed-frame",
    malformedMessage: "malformed-message",
    unknownMessage: "unknown-message",
    oversizedFrame: "oversized-frame",
    malformedHello: "malformed-hello",
    otherProtocolVersion: "other-protocol-version",
    wrongProof: "wrong-proof",
    ownName: "own-name",
    unexpectedHost: "unexpected-host",
    formerIncarnation: "former-incarnation",
    handshakeTimeout: "handshake-timeout",
    spareLink: "spare-link",
    notWanted: "not-wanted",
} as const;
export type CloseReason = (typeof closeReasons)[keyof typeof closeReasons];

export type HandshakeOptions = {
    self: { host: string; zone: string; incarnation: string };
    role: LinkRole;
    /** The host that was dialled; undefined for the acceptor. */
    expectedHost: string | undefined;
    /** Shared keys: the first signs, all are accepted. */
    sharedKeys: Buffer[];
    clock: Clock;
    /** Called with the other end's hello in the same turn as its proof is read, so that no frame after it is missed. */
    onAuthenticated: (hello: Hello) => void;
};

/** How a handshake ended: agreed, closed by the other end, or refused here for a reason. */
export type HandshakeResult = "agreed" | "closed" | CloseReason;

const handshakeMilliseconds = 2_000;

/** Unpacks a frame; undefined when it is not one msgpack value. */
export const decodeFrame = (data: unknown): unknown => {
    try {
        return unpack(data as Buffer);
    }
    catch {
        return undefined;
    }
};

/** The proof that the holder of the key sends over the two hellos. */
export const computeProof = (key: Buffer, part: LinkRole, own: Hello, other: Hello): string => {
    const [dialer, acceptor] = part === linkRoles.dialer ? [own, other] : [other, own];
    const fields = [dialer, acceptor].flatMap(hello => [hello.host, hello.incarnation, hello.challenge]);
    return createHmac("sha256", key).update(JSON.stringify([protocolVersion, part, ...fields])).digest("hex");
};

const proofMatches = (keys: Buffer[], part: LinkRole, own: Hello, other: Hello, proof: string): boolean =>
    keys.some(key => {
        const expected = Buffer.from(computeProof(key, part, other, own));
        const given = Buffer.from(proof);
        return expected.length === given.length && timingSafeEqual(expected, given);
    });

/**
 * Runs the handshake. A socket that is still connecting is handed over as it is, since the other end's hello may come
 * together with the end of the connecting. The caller closes the socket unless it agreed.
 */
export const performHandshake = (socket: WebSocket, options: HandshakeOptions): Promise<HandshakeResult> =>
    new Promise(resolve => {
        const { role: part, sharedKeys: keys, expectedHost: expected } = options;
        const own: Hello = {
            kind: "hello",
            protocolVersion,
            ...options.self,
            challenge: randomBytes(16).toString("hex"),
        };
        const otherPart = part === linkRoles.dialer ? linkRoles.acceptor : linkRoles.dialer;
        let other: Hello | undefined;

        const finish = (): void => {
            cancelLimit();
            socket.off("message", onMessage);
            socket.off("close", onClose);
            socket.off("error", onError);
        };
        const fail = (reason: CloseReason): void => {
            finish();
            resolve(reason);
        };
        const refusalOf = (hello: Hello): CloseReason | undefined => {
            if (hello.protocolVersion !== protocolVersion) {
                return closeReasons.otherProtocolVersion;
            }
            if (hello.host === own.host) {
                return closeReasons.ownName;
            }
            return expected === undefined || expected === hello.host ? undefined : closeReasons.unexpectedHost;
        };
        const onHello = (value: unknown): void => {
            const version = (value as Partial<Hello> | undefined)?.protocolVersion;
            const hello = helloSchema.safeParse(value);
            if (!hello.success) {
                const newer = typeof version === "number" && version !== protocolVersion;
                fail(newer ? closeReasons.otherProtocolVersion : closeReasons.malformedHello);
                return;
            }
            other = hello.data;
            const refusal = refusalOf(hello.data);
            if (refusal !== undefined) {
                fail(refusal);
                return;
            }
            socket.send(pack({ kind: "proof", proof: computeProof(keys[0], part, own, hello.data) }));
        };
        const onMessage = (data: Buffer): void => {
            const value = decodeFrame(data);
            if (other === undefined) {
                onHello(value);
                return;
            }
            const proof = proofSchema.safeParse(value);
            if (!proof.success || !proofMatches(keys, otherPart, own, other, proof.data.proof)) {
                fail(closeReasons.wrongProof);
                return;
            }
            finish();
            options.onAuthenticated(other);
            resolve("agreed");
        };
        const onClose = (): void => {
            finish();
            resolve("closed");
        };
        const onError = (error: Error & { code?: string }): void => {
            if (error.code === "WS_ERR_UNSUPPORTED_MESSAGE_LENGTH") {
                fail(closeReasons.oversizedFrame);
            }
        };
        const cancelLimit = options.clock.after(handshakeMilliseconds, () => fail(closeReasons.handshakeTimeout));
        socket.on("message", onMessage);
        socket.once("close", onClose);
        socket.on("error", onError);
        const sendHello = (): void => socket.send(pack(own));
        if (socket.readyState === WebSocket.CONNECTING) {
            socket.once("open", sendHello);
        }
        else {
            sendHello();
        }
    });
