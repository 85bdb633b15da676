/**
 * Bytes in parts must come out as they came in, and take little more memory than they are long, however small the parts.
 */
import test from "ava";
import fc from "fast-check";
import { createByteBuffer } from "../../src/links/bytebuffer.ts";

test("the content is that of the parts, of any size, more than once", t => {
    const content = createByteBuffer();
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), parts => {
        for (const part of parts) {
            const expected = content.capacityWith(Buffer.from(part));
            content.append(Buffer.from(part));
            t.is(content.capacity(), expected);
        }
        const whole = Buffer.concat(parts);
        t.is(content.size(), whole.length);
        t.true(content.capacity() <= Math.max(1_024, 2 * whole.length));
        t.deepEqual(content.take(), whole);
        t.is(content.capacity(), 0);
    }));
});
