import { ok } from 'neverthrow';

const admit = async () => ok({ settle: () => undefined });

/** Limits that admit everything. */
export const unlimited = { admitAnswer: admit, admitCall: admit };
