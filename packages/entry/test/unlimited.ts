import { ok } from 'neverthrow';

const admit = async () => ok({ settle: () => undefined });

/** Account limits that admit every request. */
export const unlimited = { admitAnswer: admit, admitCall: admit };
