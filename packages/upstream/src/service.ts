/** The interface to plain services. */

import type { Result } from 'neverthrow';

/** One call as it is sent to a service. */
export interface ServiceRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE' | 'PATCH';
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Whether the call uses a connection of its own, so that no HTTP client repeats it. */
  readonly once: boolean;
}

/** The complete response of a service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Why a call has no response. */
export type SendError =
  /** There was no connection: the service did not receive the call. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The service may or may not have carried out the call. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Sends calls to services. Each call is sent at most once. */
export interface ServiceClient {
  send(call: ServiceRequest, signal?: AbortSignal): Promise<Result<ServiceResponse, SendError>>;
}
