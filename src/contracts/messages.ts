/**
 * Messages between hosts. Each message is one msgpack map with a `kind`; both sides check its shape. A change that an
 * older host can not read raises `protocolVersion`.
 */
import { z } from "zod";
import { objectMessages } from "./objectmessages.ts";
import { ownershipMessages } from "./ownershipmessages.ts";
import { requestMessages } from "./requestmessages.ts";

export const protocolVersion = 1;

/** First message on a link, from both sides. The proof is an HMAC over the challenge and the sender's name. */
export const helloSchema = z.strictObject({
    kind: z.literal("hello"),
    protocolVersion: z.int(),
    host: z.string(),
    zone: z.string(),
    incarnation: z.string(),
    challenge: z.string(),
});

/** Second message on a link, from both sides. */
export const proofSchema = z.strictObject({ kind: z.literal("proof"), proof: z.string() });

/** Answer to a message that needs no other. */
export const acknowledgementSchema = z.strictObject({ kind: z.literal("acknowledgement"), accepted: z.boolean() });

export const messageSchema = z.discriminatedUnion("kind", [
    ...ownershipMessages,
    ...requestMessages,
    ...objectMessages,
    acknowledgementSchema,
]);

export type Hello = z.infer<typeof helloSchema>;
export type Message = z.infer<typeof messageSchema>;
export type MessageKind = Message["kind"];
export type MessageOf<Kind extends MessageKind> = Extract<Message, { kind: Kind }>;
