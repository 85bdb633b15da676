/**
 * Messages by which hosts lend each other parts of targets' connections.
 */
import { z } from "zod";

/** Path at which a host lends. */
export const loansPath = "/loans";

/** Asks for connections to a target, or gives back those that were lent for the asks of the ids. */
export const borrowerMessageSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("ask"), id: z.int().min(0), target: z.string(), connections: z.int().min(1) }),
    z.object({ kind: z.literal("back"), ids: z.array(z.int().min(0)) }),
]);

/** Answers the ask of the same id; none is a refusal. */
export const lenderMessageSchema = z.object({
    kind: z.literal("lent"),
    id: z.int().min(0),
    connections: z.int().min(0),
});

export type BorrowerMessage = z.infer<typeof borrowerMessageSchema>;
export type LenderMessage = z.infer<typeof lenderMessageSchema>;
