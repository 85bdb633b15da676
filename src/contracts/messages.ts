/**
 * Messages between hosts. Each message is one msgpack map with a `kind`; both sides check its shape. A change that an
 * older host can not read raises `protocolVersion`.
 */
import { z } from "zod";
import { objectMessages } from "./objectmessages.ts";
import { ownershipMessages } from "./ownershipmessages.ts";
import { requestMessages } from "./requestmessages.ts";

export const protocolVersion = 2;

/** First message on a link, from both sides. */
export const helloSchema = z.strictObject({
    kind: z.literal("hello"),
    protocolVersion: z.int(),
    host: z.string(),
    zone: z.string(),
    incarnation: z.string(),
    challenge: z.string().min(16).max(128),
});

/**
 * Second message on a link, from both sides: an HMAC over the sender's part in the link and both hellos, so that it is
 * of no use on another link, to another host or in the other direction.
 */
export const proofSchema = z.strictObject({ kind: z.literal("proof"), proof: z.string() });

/** Answer to a message that needs no other. */
export const acknowledgementSchema = z.strictObject({ kind: z.literal("acknowledgement"), accepted: z.boolean() });

export const messageSchema = z.discriminatedUnion("kind", [
    ...ownershipMessages,
    ...requestMessages,
    ...objectMessages,
    acknowledgementSchema,
]);

/** Every kind of message, to tell a message of a newer host from a malformed one. */
export const messageKinds: ReadonlySet<string> = new Set(
    messageSchema.options.map(option => option.shape.kind.value),
);

export type Hello = z.infer<typeof helloSchema>;
export type Message = z.infer<typeof messageSchema>;
export type MessageKind = Message["kind"];
export type MessageOf<Kind extends MessageKind> = Extract<Message, { kind: Kind }>;
