/**
 * Messages that carry objects of the platform from host to host.
 */
import { z } from "zod";
import { storedObjectSchema } from "./objects.ts";

/** Objects that the sender has accepted, newest versions only. */
export const objectsSchema = z.strictObject({ kind: z.literal("objects"), items: z.array(storedObjectSchema) });

export const objectMessages = [objectsSchema] as const;
