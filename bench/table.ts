/**
 * Tables of plain text with aligned columns.
 */

/** Writes rows under a head, the first column to the left and the others to the right. */
export const formatTable = (head: string[], rows: string[][]): string[] => {
    const widths = head.map((title, column) => Math.max(title.length, ...rows.map(row => row[column].length)));
    return [head, ...rows].map(row =>
        row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]) : cell.padStart(widths[column])).join("  ")
            .trimEnd()
    );
};
