/**
 * Releases: the price lists, client accounts, models and services that operators offer, under one
 * number.
 */

import type {
  AccountId,
  Digest,
  Millis,
  ModelId,
  PriceListId,
  ServiceId,
  TierId,
} from '@tanagercart/base';

/** A service level with its urgency, its price, its latency targets and its limits. */
export interface Tier {
  readonly id: TierId;
  /** Rank of urgency; 0 is the most urgent. */
  readonly urgency: number;
  /** Price for a million tokens, in the operator's currency. */
  readonly price: number;
  /** Promised time to the first token. */
  readonly firstTokenMs: Millis;
  /** Promised time between tokens. */
  readonly tokenGapMs: Millis;
  /** Requests of one client account that may be in progress at once. */
  readonly concurrency: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Bounds the retries of an account, as a share of its requests, 0 to 1. */
  readonly retryBudget: number;
}

/** A set of tiers from which an account may choose for each request. */
export interface PriceList {
  readonly id: PriceListId;
  readonly tiers: readonly Tier[];
}

/** A customer, whose requests are billed by one price list. */
export interface ClientAccount {
  readonly id: AccountId;
  readonly priceList: PriceListId;
  /** The tier of requests that name none. */
  readonly defaultTier: TierId;
  /** SHA-256 of the account's API key. */
  readonly keyDigest: Digest;
  /** Share of the capacity under contention, relative to the weights of other accounts. */
  readonly weight: number;
}

/** A model with the versions and adapters that callers may request. */
export interface Model {
  readonly id: ModelId;
  /** Number of layers, which the stages of a replica divide among them. */
  readonly layers: number;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
}

/** A call that a plain service offers. */
export interface ServiceCall {
  readonly method: string;
  /** Path below the service; a trailing `*` matches any suffix. */
  readonly path: string;
  /** Whether the call is idempotent and may be retried. */
  readonly repeatable: boolean;
}

/** A plain HTTP service, as opposed to the engines that run models. */
export interface Service {
  readonly id: ServiceId;
  readonly calls: readonly ServiceCall[];
}

/** The parts of a release as lists, as notes and snapshots contain them. */
export interface ReleaseParts {
  readonly priceLists: readonly PriceList[];
  readonly clientAccounts: readonly ClientAccount[];
  readonly models: readonly Model[];
  readonly services: readonly Service[];
}

/** The ids of the parts that a note withdraws. */
export interface WithdrawnParts {
  readonly priceLists: readonly PriceListId[];
  readonly clientAccounts: readonly AccountId[];
  readonly models: readonly ModelId[];
  readonly services: readonly ServiceId[];
}

/** A release note, which an operator submits: the changes to the current release. */
export interface ReleaseNote {
  /** The number of the resulting release, one more than that of the current one. */
  readonly number: number;
  readonly author: string;
  readonly added: ReleaseParts;
  readonly changed: ReleaseParts;
  readonly withdrawn: WithdrawnParts;
}

/** The parts of a release, by id. */
export interface ReleaseTables {
  readonly priceLists: ReadonlyMap<PriceListId, PriceList>;
  readonly clientAccounts: ReadonlyMap<AccountId, ClientAccount>;
  readonly models: ReadonlyMap<ModelId, Model>;
  readonly services: ReadonlyMap<ServiceId, Service>;
}

/** A release. Immutable. */
export class Release {
  private constructor(
    readonly number: number,
    private readonly tables: ReleaseTables,
    private readonly byKey: ReadonlyMap<Digest, ClientAccount>,
  ) {}

  /** The release before the first note, with number 0 and no parts. */
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

  /**
   * Creates a release of the given tables, which must not be modified afterwards. The index of API
   * keys is taken over from `before` if that release has the same table of accounts.
   */
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

  /** The account whose API key has this SHA-256 digest. */
  accountByKey(keyDigest: Digest): ClientAccount | undefined {
    return this.byKey.get(keyDigest);
  }

  /** A tier of the account's price list; the default tier of the account if `tier` is undefined. */
  tierOf(account: ClientAccount, tier?: TierId): Tier | undefined {
    const wanted = tier ?? account.defaultTier;
    return this.priceLists.get(account.priceList)?.tiers.find((t) => t.id === wanted);
  }
}
