/**
 * Suspicions of a host that suspects no request, for tests of other things.
 */
import type { Suspicions } from "../../../src/machines/resident/suspicions.ts";

export const noSuspicions: Suspicions = {
    isQuarantined: () => false,
    recordConnectionLost: () => undefined,
    recordAnswered: () => undefined,
};
