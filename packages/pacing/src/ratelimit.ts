/** What a response says of the rate at which its upstream accepts requests. */
export type RateLimit =
  /** Requests per second that the upstream accepts from all nodes together. */
  | { readonly kind: 'limited'; readonly perSecond: number }
  | { readonly kind: 'unlimited' }
  /** The limit that the upstream named cannot be read. */
  | { readonly kind: 'malformed'; readonly text: string };
