/**
 * The public face of the library: the coordination parts that others may embed. Each is a pure function or a small
 * object with the time passed in; sockets, timers and processes stay with whoever embeds it.
 */
export { type Assignment, noOwner } from "./contracts/assignment.ts";
export { type Grant, type GrantAnswer, grantRefusals } from "./contracts/grant.ts";
export { type Outcome, outcomes, type Reason, reasons } from "./contracts/outcome.ts";
export { createCurrency, type Currency } from "./decisions/currency.ts";
export { createSlotHash, type SlotHash } from "./decisions/hash.ts";
