/**
 * Messages between hosts. Each message is one msgpack map with a `kind`; each side validates what it receives. A change
 * that an older host can not read increases `protocolVersion`.
 */
import { z } from "zod";
import { objectMessages } from "./objectmessages.ts";
import { ownershipMessages } from "./ownershipmessages.ts";
import { requestMessages } from "./requestmessages.ts";

export const protocolVersion = 2;

/** First message on a link; both sides send it. */
export const helloSchema = z.strictObject({
    kind: z.literal("hello"),
    protocolVersion: z.int(),
    host: z.string(),
    zone: z.string(),
    incarnation: z.string(),
    challenge: z.string().min(16).max(128),
});

/**
 * Second message on a link; both sides send it. It is an HMAC over the sender's role (dialer or acceptor) and both
 * hello messages, so that it can not be replayed on another link, to another host or in the opposite direction.
 */
export const proofSchema = z.strictObject({ kind: z.literal("proof"), proof: z.string() });

/** Answer to a message that has no specific answer of its own. */
export const acknowledgementSchema = z.strictObject({ kind: z.literal("acknowledgement"), accepted: z.boolean() });

/** Any message that follows the handshake. */
export const messageSchema = z.discriminatedUnion("kind", [
    ...ownershipMessages,
    ...requestMessages,
    ...objectMessages,
    acknowledgementSchema,
]);

/** Every kind of message; distinguishes a message of a newer host from a malformed one. */
export const messageKinds: ReadonlySet<string> = new Set(
    messageSchema.options.map(option => option.shape.kind.value),
);

export type Hello = z.infer<typeof helloSchema>;
export type Message = z.infer<typeof messageSchema>;
export type MessageKind = Message["kind"];
/** The message type of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, { kind: Kind }>;
