/**
 * Plain-text tables with aligned columns.
 */

/** Formats rows under a header. The first column is aligned to the left, the others to the right. */
export const formatTable = (header: string[], rows: string[][]): string[] => {
    const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => row[column].length)));
    return [header, ...rows].map(row =>
        row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]) : cell.padStart(widths[column])).join("  ")
            .trimEnd()
    );
};
