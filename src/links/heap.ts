/**
 * The heap of this process, as V8 counts it.
 */
import { getHeapStatistics } from "node:v8";

/** Sizes in bytes. The process ends when what is used can not be kept below the limit. */
export type HeapSizes = {
    used: number;
    limit: number;
    /** Beside the heap: buffers and large texts. */
    external: number;
};

export const readHeap = (): HeapSizes => {
    const { used_heap_size: used, heap_size_limit: limit, external_memory: external } = getHeapStatistics();
    return { used, limit, external };
};
