/** Checks that what a note leaves standing does not refer to what it takes away. */

import type { Digest, PriceListId } from '@tanagercart/base';
import type { NoteProblem } from './note.js';
import type { ClientAccount, Release, ReleaseNote } from './release.js';

/** Accounts named in one problem at most. */
const namedAccounts = 3;

/** Every reference that `note` breaks, told at the entry of the note that breaks it. */
export function brokenReferences(
  before: Release,
  after: Release,
  note: ReleaseNote,
): readonly NoteProblem[] {
  const touched = touchedAccounts(note);
  return [
    ...accountProblems(before, after, touched),
    ...listProblems(before, after, note, touched),
  ];
}

/** Accounts that the note lists, with their entries. */
function touchedAccounts(note: ReleaseNote): ReadonlyMap<ClientAccount, string> {
  const touched = new Map<ClientAccount, string>();
  for (const a of note.added.clientAccounts) touched.set(a, `added.clientAccounts "${a.id}"`);
  for (const a of note.changed.clientAccounts) touched.set(a, `changed.clientAccounts "${a.id}"`);
  return touched;
}

function accountProblems(
  before: Release,
  after: Release,
  touched: ReadonlyMap<ClientAccount, string>,
): readonly NoteProblem[] {
  const problems: NoteProblem[] = [];
  const keys = new Map<Digest, ClientAccount>();
  for (const [account, entry] of touched) {
    const problem = (key: string, message: string) =>
      problems.push({ entry: `${entry}.${key}`, line: 0, message });
    if (!after.priceLists.has(account.priceList)) {
      problem('priceList', `price list "${account.priceList}" does not stand`);
    } else if (!after.tierOf(account)) {
      const list = `price list "${account.priceList}"`;
      problem('defaultTier', `tier "${account.defaultTier}" does not stand in ${list}`);
    }
    const { keyDigest } = account;
    const holder = keys.get(keyDigest) ?? keeper(before, after, keyDigest);
    const taken = holder && holder.id !== account.id ? holder : undefined;
    if (taken) problem('keyDigest', `account "${taken.id}" has the same key`);
    keys.set(keyDigest, account);
  }
  return problems;
}

/** The account that had a key before and has it still. */
function keeper(before: Release, after: Release, key: Digest): ClientAccount | undefined {
  const holder = before.accountByKey(key);
  const now = holder && after.clientAccounts.get(holder.id);
  return now?.keyDigest === key ? now : undefined;
}

/** Price lists that the note withdraws or changes under accounts that it leaves alone. */
function listProblems(
  before: Release,
  after: Release,
  note: ReleaseNote,
  touched: ReadonlyMap<ClientAccount, string>,
): readonly NoteProblem[] {
  const entries = new Map<PriceListId, string>();
  for (const { id } of note.changed.priceLists) entries.set(id, `changed.priceLists "${id}"`);
  for (const id of note.withdrawn.priceLists) entries.set(id, `withdrawn.priceLists "${id}"`);
  if (entries.size === 0) return [];
  const users = new Map<string, string[]>();
  for (const account of after.clientAccounts.values()) {
    const entry = entries.get(account.priceList);
    if (!entry || touched.has(account) || after.tierOf(account)) continue;
    if (!before.priceLists.has(account.priceList)) continue;
    const what = after.priceLists.has(account.priceList) ? ` tier "${account.defaultTier}"` : '';
    const key = `${entry}|${what}`;
    users.set(key, [...(users.get(key) ?? []), account.id]);
  }
  return [...users].map(([key, accounts]) => {
    const [entry = '', what = ''] = key.split('|');
    return { entry, line: 0, message: `${what} is still used by ${listed(accounts)}`.trim() };
  });
}

function listed(accounts: readonly string[]): string {
  const first = accounts
    .slice(0, namedAccounts)
    .map((a) => `"${a}"`)
    .join(', ');
  const more = accounts.length - namedAccounts;
  const noun = accounts.length > 1 ? 'accounts' : 'account';
  return `${noun} ${first}${more > 0 ? ` and ${more} more` : ''}`;
}
