/**
 * Checks the references between the parts of a release. Every account needs an existing price list,
 * a default tier in that list and an API key that no other account has.
 */

import type { Digest, PriceListId } from '@tanagercart/base';
import type { NoteProblem } from './note.js';
import type { ClientAccount, Release, ReleaseNote } from './release.js';

/** Bounds the accounts that one problem message names. */
const maxNamedAccounts = 3;

/** All references that `note` breaks, each reported for the entry of the note that breaks it. */
export function brokenReferences(
  before: Release,
  after: Release,
  note: ReleaseNote,
): readonly NoteProblem[] {
  const listedAccounts = entriesOfAccounts(note);
  return [
    ...accountProblems(before, after, listedAccounts),
    ...priceListProblems(before, after, note, listedAccounts),
  ];
}

/** The accounts that the note adds or changes, with their entries in the note. */
function entriesOfAccounts(note: ReleaseNote): ReadonlyMap<ClientAccount, string> {
  const entries = new Map<ClientAccount, string>();
  for (const a of note.added.clientAccounts) entries.set(a, `added.clientAccounts "${a.id}"`);
  for (const a of note.changed.clientAccounts) entries.set(a, `changed.clientAccounts "${a.id}"`);
  return entries;
}

/** Problems of the accounts that the note adds or changes. */
function accountProblems(
  before: Release,
  after: Release,
  listedAccounts: ReadonlyMap<ClientAccount, string>,
): readonly NoteProblem[] {
  const problems: NoteProblem[] = [];
  const holders = new Map<Digest, ClientAccount>();
  for (const [account, entry] of listedAccounts) {
    const problem = (key: string, message: string) =>
      problems.push({ entry: `${entry}.${key}`, line: 0, message });
    if (!after.priceLists.has(account.priceList)) {
      problem('priceList', `price list "${account.priceList}" does not stand`);
    } else if (!after.tierOf(account)) {
      const list = `price list "${account.priceList}"`;
      problem('defaultTier', `tier "${account.defaultTier}" does not stand in ${list}`);
    }
    const { keyDigest } = account;
    const holder = holders.get(keyDigest) ?? unchangedHolder(before, after, keyDigest);
    const other = holder && holder.id !== account.id ? holder : undefined;
    if (other) problem('keyDigest', `account "${other.id}" has the same key`);
    holders.set(keyDigest, account);
  }
  return problems;
}

/** The account that has this API key both before and after the note. */
function unchangedHolder(before: Release, after: Release, key: Digest): ClientAccount | undefined {
  const holder = before.accountByKey(key);
  const current = holder && after.clientAccounts.get(holder.id);
  return current?.keyDigest === key ? current : undefined;
}

/**
 * Problems of price lists that the note changes or withdraws while accounts that it does not list
 * still use them.
 */
function priceListProblems(
  before: Release,
  after: Release,
  note: ReleaseNote,
  listedAccounts: ReadonlyMap<ClientAccount, string>,
): readonly NoteProblem[] {
  const entries = new Map<PriceListId, string>();
  for (const { id } of note.changed.priceLists) entries.set(id, `changed.priceLists "${id}"`);
  for (const id of note.withdrawn.priceLists) entries.set(id, `withdrawn.priceLists "${id}"`);
  if (entries.size === 0) return [];
  const users = new Map<string, string[]>();
  for (const account of after.clientAccounts.values()) {
    const entry = entries.get(account.priceList);
    if (!entry || listedAccounts.has(account) || after.tierOf(account)) continue;
    if (!before.priceLists.has(account.priceList)) continue;
    const what = after.priceLists.has(account.priceList) ? ` tier "${account.defaultTier}"` : '';
    const key = `${entry}|${what}`;
    users.set(key, [...(users.get(key) ?? []), account.id]);
  }
  return [...users].map(([key, accounts]) => {
    const [entry = '', what = ''] = key.split('|');
    return {
      entry,
      line: 0,
      message: `${what} is still used by ${accountList(accounts)}`.trim(),
    };
  });
}

/** Names the accounts, and the number of those beyond `maxNamedAccounts`. */
function accountList(accounts: readonly string[]): string {
  const first = accounts
    .slice(0, maxNamedAccounts)
    .map((a) => `"${a}"`)
    .join(', ');
  const more = accounts.length - maxNamedAccounts;
  const noun = accounts.length > 1 ? 'accounts' : 'account';
  return `${noun} ${first}${more > 0 ? ` and ${more} more` : ''}`;
}
