/**
 * Formats rows for people and for scripts: an aligned table on a terminal, logfmt lines (`key=value`) elsewhere.
 */
import logfmt from "logfmt";

export type Row = Record<string, string | number | boolean>;

/** Formats rows that all have the same columns. */
export const formatRows = (rows: Row[], isTerminal: boolean): string[] => {
    if (!isTerminal) {
        return rows.map(row => logfmt.stringify(row));
    }
    if (rows.length === 0) {
        return [];
    }
    const columns = Object.keys(rows[0]);
    const lines = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(c => String(row[c])))];
    const widths = [...columns.keys()].map(index => Math.max(...lines.map(line => line[index].length)));
    return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index])).join("  ").trimEnd());
};
