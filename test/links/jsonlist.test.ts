/**
 * Reading of large JSON texts by parts. Guards against parts that differ from what the whole text says, and against texts
 * that are not JSON and are taken for such.
 */
import test from "ava";
import fc from "fast-check";
import { parseWithList, readMembers } from "../../src/links/jsonlist.ts";

/** A text beyond the size that is parsed as a whole. */
const padding = " ".repeat(20_000);

const read = (text: string) =>
    parseWithList(Buffer.from(text), "items", ["more", "at"], {
        convert: element => ({ small: element }),
        convertLarge: bytes => ({ large: JSON.parse(bytes.toString("utf8")) as unknown }),
    });

const members = fc.record({
    items: fc.array(fc.jsonValue()),
    more: fc.boolean(),
    at: fc.integer(),
    other: fc.jsonValue(),
}, { requiredKeys: ["items", "more", "at"] });

test("a text gives its members and each element of its list, whatever they hold, however it is spaced", t => {
    fc.assert(fc.property(members, fc.constantFrom(0, 1, 3), fc.boolean(), (value, indent, isLarge) => {
        const text = JSON.stringify(value, undefined, indent) + (isLarge ? padding : "");
        const { items, more, at } = JSON.parse(text) as typeof value;
        const found = { ...read(text), other: undefined };
        t.deepEqual(found, { items: items.map(small => ({ small })), more, at, other: undefined });
    }));
});

test("a large element is not parsed before its conversion", t => {
    const large = { text: `\\"]},{[${padding}` };
    t.deepEqual(read(JSON.stringify({ items: [1, large, 2] })), { items: [{ small: 1 }, { large }, { small: 2 }] });
});

test("members are found among others of any kind", t => {
    fc.assert(fc.property(fc.object({ maxDepth: 3 }), fc.jsonValue(), (others, wanted) => {
        const text = JSON.stringify({ ...others, wanted });
        const found = readMembers(Buffer.from(text), ["wanted", "absent"]);
        t.deepEqual([...found?.keys() ?? []], ["wanted"]);
        t.deepEqual(JSON.parse(found?.get("wanted")?.toString("utf8") ?? ""), JSON.parse(JSON.stringify(wanted)));
    }));
});

test("what follows the wanted members is left unread only where that is asked for", t => {
    const text = Buffer.from("{\"wanted\":{\"a\":1},\"rest\":[");
    t.throws(() => readMembers(text, ["wanted"]), { instanceOf: SyntaxError });
    t.is(readMembers(text, ["wanted"], true)?.get("wanted")?.toString("utf8"), "{\"a\":1}");
});

for (
    const text of [
        "{\"items\":[1 2]}",
        "{\"items\":[1,]}",
        "{\"items\":[1",
        "{\"items\" [1]}",
        "{items:[1]}",
        "{\"items\":[{]}",
    ]
) {
    test(`${text} is refused, small and large`, t => {
        t.throws(() => read(text), { instanceOf: SyntaxError });
        t.throws(() => read(text.replace("{", `{${padding}`)), { instanceOf: SyntaxError });
    });
}

for (const text of ["[]", "1", "\"items\"", "{}", "{\"more\":true}", "{\"other\":{\"items\":[]}}"]) {
    test(`${text} has no list, small or large`, t => {
        t.is(read(text), undefined);
        t.is(read(padding + text), undefined);
    });
}
