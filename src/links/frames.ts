/**
 * Frames between hosts: one msgpack value each, checked against a schema. A frame of the wrong form is never an
 * exception, so that a peer cannot end this process.
 */
import { pack, unpack } from "msgpackr";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { z } from "zod";

/** Decodes a frame; undefined when it is not exactly one msgpack value. */
export const decodeFrame = (data: unknown): unknown => {
    try {
        return unpack(data as Buffer);
    }
    catch {
        return undefined;
    }
};

/** Decodes a frame and checks its form; undefined when it is not one value of this form. */
export const parseFrame = <Shape>(schema: z.ZodType<Shape>, data: unknown): Shape | undefined =>
    schema.safeParse(decodeFrame(data)).data;

/** Encodes a value as a frame. */
export const encodeFrame = (value: unknown): Buffer => pack(value);

/** Largest frame, also before its compression. */
export const maxFrameBytes = 8_388_608;

/** Compresses a frame. */
export const deflateFrame = (frame: Buffer): Buffer => deflateRawSync(frame, { level: 1 });

/** Decodes a compressed frame; undefined when it is damaged or too large. */
export const inflateFrame = (data: Uint8Array): unknown => {
    try {
        return decodeFrame(inflateRawSync(data, { maxOutputLength: maxFrameBytes }));
    }
    catch {
        return undefined;
    }
};
