/**
 * The handshake of a link between hosts. Each end sends a hello with a fresh challenge, then an HMAC over both hellos
 * as the proof that it holds a shared key. The proof covers its sender's role in the link, so that the other end can
 * not send it back as its own.
 */
import { pack } from "msgpackr";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { WebSocket } from "ws";
import type { Clock } from "../contracts/clock.ts";
import { type Hello, helloSchema, proofSchema, protocolVersion } from "../contracts/messages.ts";
import { decodeFrame } from "./frames.ts";

/** The two ends of a link: the host that opened the connection, and the host that accepted it. */
export const linkRoles = { dialer: "dialer", acceptor: "acceptor" } as const;
export type LinkRole = (typeof linkRoles)[keyof typeof linkRoles];

/** Reasons for closing or refusing a link. Each has its own counter, `peer-closed{reason=...}`. */
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
    /** What the own hello says of this host. */
    self: { host: string; zone: string; incarnation: string };
    role: LinkRole;
    /** Name of the host that was dialled; undefined for the acceptor. */
    expectedHost: string | undefined;
    /** The first key signs own proofs; a proof by any of them is accepted. */
    sharedKeys: Buffer[];
    clock: Clock;
    /**
     * Called with the other end's hello in the event-loop turn in which its proof is read, so that no later frame is
     * lost.
     */
    onAuthenticated: (hello: Hello) => void;
};

/** How a handshake ended: the other end is authenticated, it closed the socket, or this end refuses it for a reason. */
export type HandshakeResult = "authenticated" | "closed" | CloseReason;

const handshakeTimeoutMilliseconds = 2_000;

/** Computes the proof of the end that has the given role and sent the hello `own`, as a hexadecimal HMAC. */
export const computeProof = (key: Buffer, role: LinkRole, own: Hello, other: Hello): string => {
    const [dialer, acceptor] = role === linkRoles.dialer ? [own, other] : [other, own];
    const fields = [dialer, acceptor].flatMap(hello => [hello.host, hello.incarnation, hello.challenge]);
    return createHmac("sha256", key).update(JSON.stringify([protocolVersion, role, ...fields])).digest("hex");
};

const proofMatches = (keys: Buffer[], role: LinkRole, own: Hello, other: Hello, proof: string): boolean =>
    keys.some(key => {
        const expected = Buffer.from(computeProof(key, role, other, own));
        const given = Buffer.from(proof);
        return expected.length === given.length && timingSafeEqual(expected, given);
    });

/**
 * Runs the handshake. The socket of a dialer is passed while it still connects, since the other end's hello may arrive
 * together with the completion of the connection. Unless the result is `authenticated`, the calling code closes the
 * socket.
 */
export const performHandshake = (socket: WebSocket, options: HandshakeOptions): Promise<HandshakeResult> =>
    new Promise(resolve => {
        const { role, sharedKeys, expectedHost } = options;
        const own: Hello = {
            kind: "hello",
            protocolVersion,
            ...options.self,
            challenge: randomBytes(16).toString("hex"),
        };
        const otherRole = role === linkRoles.dialer ? linkRoles.acceptor : linkRoles.dialer;
        let other: Hello | undefined;

        const finish = (): void => {
            cancelTimeout();
            socket.off("message", onMessage);
            socket.off("close", onClose);
            socket.off("error", onError);
        };
        const fail = (reason: CloseReason): void => {
            finish();
            resolve(reason);
        };
        const findRefusal = (hello: Hello): CloseReason | undefined => {
            if (hello.protocolVersion !== protocolVersion) {
                return closeReasons.otherProtocolVersion;
            }
            if (hello.host === own.host) {
                return closeReasons.ownName;
            }
            return expectedHost === undefined || expectedHost === hello.host ? undefined : closeReasons.unexpectedHost;
        };
        const onHello = (value: unknown): void => {
            const version = (value as Partial<Hello> | undefined)?.protocolVersion;
            const hello = helloSchema.safeParse(value);
            if (!hello.success) {
                const otherVersion = typeof version === "number" && version !== protocolVersion;
                fail(otherVersion ? closeReasons.otherProtocolVersion : closeReasons.malformedHello);
                return;
            }
            other = hello.data;
            const refusal = findRefusal(hello.data);
            if (refusal !== undefined) {
                fail(refusal);
                return;
            }
            socket.send(pack({ kind: "proof", proof: computeProof(sharedKeys[0], role, own, hello.data) }));
        };
        const onMessage = (data: Buffer): void => {
            const value = decodeFrame(data);
            if (other === undefined) {
                onHello(value);
                return;
            }
            const proof = proofSchema.safeParse(value);
            if (!proof.success || !proofMatches(sharedKeys, otherRole, own, other, proof.data.proof)) {
                fail(closeReasons.wrongProof);
                return;
            }
            finish();
            options.onAuthenticated(other);
            resolve("authenticated");
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
        const cancelTimeout = options.clock.after(
            handshakeTimeoutMilliseconds,
            () => fail(closeReasons.handshakeTimeout),
        );
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
