/**
 * Which statuses make an answer. HTTP parsers accept any three digits, so whatever reads answers asks here: the exchanges
 * with targets, the calls for grants, and the client of the store.
 */

/** Whether the status is that of a final answer. */
export const isAnswerStatus = (statusCode: number): boolean => statusCode >= 200 && statusCode <= 599;

/** Whether answers with the status have no body, whatever length their head tells. */
export const isBodyless = (statusCode: number): boolean => statusCode === 204 || statusCode === 304;

/** Whether the status announces that an answer follows. 101 does not: it ends HTTP, which no request asks for. */
export const isInterimStatus = (statusCode: number): boolean =>
    statusCode >= 100 && statusCode < 200 && statusCode !== 101;
