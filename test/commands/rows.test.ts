import test from "ava";
import { formatRows, type Row } from "../../src/commands/rows.ts";

const rows: Row[] = [{ host: "a", state: "live" }, { host: "host-b", state: "cut off" }];

const cases: Array<{ title: string; rows: Row[]; isTerminal: boolean; lines: string[] }> = [
    {
        title: "a table on a terminal",
        rows,
        isTerminal: true,
        lines: ["HOST    STATE", "a       live", "host-b  cut off"],
    },
    {
        title: "key=value lines elsewhere",
        rows,
        isTerminal: false,
        lines: ["host=a state=live", "host=host-b state=\"cut off\""],
    },
    { title: "no lines for no rows", rows: [], isTerminal: true, lines: [] },
];

for (const { title, rows: given, isTerminal, lines } of cases) {
    test(title, t => {
        t.deepEqual(formatRows(given, isTerminal), lines);
    });
}
