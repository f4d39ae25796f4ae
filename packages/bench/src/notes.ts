/** Release notes of a given size. */

import { AccountId, ModelId, PriceListId, TierId, digestOf } from '@tanagercart/base';
import type {
  ClientAccount,
  ReleaseNote,
  ReleaseParts,
  Tier,
  WithdrawnParts,
} from '@tanagercart/release';

/** A part list without parts. */
export const noParts: ReleaseParts = {
  priceLists: [],
  clientAccounts: [],
  models: [],
  services: [],
};

const nothingWithdrawn: WithdrawnParts = {
  priceLists: [],
  clientAccounts: [],
  models: [],
  services: [],
};

const tier: Tier = {
  id: TierId('now'),
  urgency: 0,
  price: 2,
  firstTokenMs: 690,
  tokenGapMs: 78,
  concurrency: 8,
  requestsPerSecond: 10,
  tokensPerSecond: 1000,
  retryBudget: 0.1,
};

/** The client account with this number. */
export function account(n: number, weight = 1): ClientAccount {
  return {
    id: AccountId(`account-${n}`),
    priceList: PriceListId('list'),
    defaultTier: tier.id,
    keyDigest: digestOf(`key ${n}`),
    weight,
  };
}

/** The release note with this number; `parts` replaces its empty fields. */
export function note(number: number, parts: Partial<ReleaseNote> = {}): ReleaseNote {
  return {
    number,
    author: 'bench',
    added: noParts,
    changed: noParts,
    withdrawn: nothingWithdrawn,
    ...parts,
  };
}

/** The first release note: one price list, one model and `accounts` accounts. */
export function firstNote(accounts: number): ReleaseNote {
  const priceLists = [{ id: PriceListId('list'), tiers: [tier] }];
  const models = [{ id: ModelId('fig'), layers: 8, versions: ['1'], adapters: [] }];
  const clientAccounts = Array.from({ length: accounts }, (_, n) => account(n));
  return note(1, { added: { ...noParts, priceLists, models, clientAccounts } });
}
