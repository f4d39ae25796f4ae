/** A release: all that is on offer under one number. */

import type {
  AccountId,
  Digest,
  Millis,
  ModelId,
  PriceListId,
  ServiceId,
  TierId,
} from '@tanagercart/base';

/** One urgency on offer, with its price, its promise and its limits. */
export interface Tier {
  readonly id: TierId;
  /** Rank of urgency; 0 is the most urgent. */
  readonly urgency: number;
  /** Price for a million tokens, in the operator's currency. */
  readonly price: number;
  /** Promise: time to the first token. */
  readonly firstTokenMs: Millis;
  /** Promise: time between tokens. */
  readonly tokenGapMs: Millis;
  /** Requests of one client account in progress at once. */
  readonly concurrency: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Share of an account's requests that may be retried, 0 to 1. */
  readonly retryBudget: number;
}

/** Tiers offered together. */
export interface PriceList {
  readonly id: PriceListId;
  readonly tiers: readonly Tier[];
}

/** A customer that sends requests under one price list. */
export interface ClientAccount {
  readonly id: AccountId;
  readonly priceList: PriceListId;
  readonly defaultTier: TierId;
  /** SHA-256 of the account's API key. */
  readonly keyDigest: Digest;
  /** Share of the fleet under contention, relative to other accounts. */
  readonly weight: number;
}

/** A model with the versions and adapters that callers may ask for. */
export interface Model {
  readonly id: ModelId;
  readonly layers: number;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
}

/** One call of a plain service. */
export interface ServiceCall {
  readonly method: string;
  /** Path below the service; a trailing `*` matches any rest. */
  readonly path: string;
  /** Whether the call is idempotent. */
  readonly repeatable: boolean;
}

/** A plain service beside the engines. */
export interface Service {
  readonly id: ServiceId;
  readonly calls: readonly ServiceCall[];
}

/** The parts of a release, as a note lists them. */
export interface ReleaseParts {
  readonly priceLists: readonly PriceList[];
  readonly clientAccounts: readonly ClientAccount[];
  readonly models: readonly Model[];
  readonly services: readonly Service[];
}

/** Names of parts, as a note withdraws them. */
export interface WithdrawnParts {
  readonly priceLists: readonly PriceListId[];
  readonly clientAccounts: readonly AccountId[];
  readonly models: readonly ModelId[];
  readonly services: readonly ServiceId[];
}

/** What an operator submits: the difference to the release before it. */
export interface ReleaseNote {
  /** One more than the number of the release in force. */
  readonly number: number;
  readonly author: string;
  readonly added: ReleaseParts;
  readonly changed: ReleaseParts;
  readonly withdrawn: WithdrawnParts;
}

/** The parts of a release by their ids. */
export interface ReleaseTables {
  readonly priceLists: ReadonlyMap<PriceListId, PriceList>;
  readonly clientAccounts: ReadonlyMap<AccountId, ClientAccount>;
  readonly models: ReadonlyMap<ModelId, Model>;
  readonly services: ReadonlyMap<ServiceId, Service>;
}

/** Everything on offer under one number; immutable. */
export class Release {
  private constructor(
    readonly number: number,
    private readonly tables: ReleaseTables,
    private readonly byKey: ReadonlyMap<Digest, ClientAccount>,
  ) {}

  /** The release before the first note: nothing is on offer. */
  static empty(): Release {
    return Release.create(0, { priceLists: [], clientAccounts: [], models: [], services: [] });
  }

  static create(number: number, parts: ReleaseParts): Release {
    return Release.fromTables(number, {
      priceLists: new Map(parts.priceLists.map((p) => [p.id, p])),
      clientAccounts: new Map(parts.clientAccounts.map((a) => [a.id, a])),
      models: new Map(parts.models.map((m) => [m.id, m])),
      services: new Map(parts.services.map((s) => [s.id, s])),
    });
  }

  /** A release of the given tables, which must not change afterwards. */
  static fromTables(number: number, tables: ReleaseTables, before?: Release): Release {
    const same = before && before.clientAccounts === tables.clientAccounts;
    const byKey = same
      ? before.byKey
      : new Map([...tables.clientAccounts.values()].map((a) => [a.keyDigest, a]));
    return new Release(number, tables, byKey);
  }

  get priceLists(): ReadonlyMap<PriceListId, PriceList> {
    return this.tables.priceLists;
  }

  get clientAccounts(): ReadonlyMap<AccountId, ClientAccount> {
    return this.tables.clientAccounts;
  }

  get models(): ReadonlyMap<ModelId, Model> {
    return this.tables.models;
  }

  get services(): ReadonlyMap<ServiceId, Service> {
    return this.tables.services;
  }

  /** The parts of this release as lists. */
  parts(): ReleaseParts {
    return {
      priceLists: [...this.priceLists.values()],
      clientAccounts: [...this.clientAccounts.values()],
      models: [...this.models.values()],
      services: [...this.services.values()],
    };
  }

  /** The account whose API key has this digest. */
  accountByKey(keyDigest: Digest): ClientAccount | undefined {
    return this.byKey.get(keyDigest);
  }

  /** A tier of the account's price list; its default tier where `tier` is not given. */
  tierOf(account: ClientAccount, tier?: TierId): Tier | undefined {
    const wanted = tier ?? account.defaultTier;
    return this.priceLists.get(account.priceList)?.tiers.find((t) => t.id === wanted);
  }
}
