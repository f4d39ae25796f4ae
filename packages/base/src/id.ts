/** Branded ids: string types that the compiler does not accept in place of one another. */

declare const brand: unique symbol;

/** A value of type `T` marked with the brand `B`. */
export type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Identifies a node: one instance of this router. */
export type NodeId = Branded<string, 'NodeId'>;
/** Identifies a data centre. */
export type DataCentreId = Branded<string, 'DataCentreId'>;
/** Identifies a client account. */
export type AccountId = Branded<string, 'AccountId'>;
/** Identifies an upstream instance: a pipeline stage of an engine, or a plain service. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** Identifies a replica: a chain of stages that together hold every layer of a model once. */
export type ReplicaId = Branded<string, 'ReplicaId'>;
/** Identifies a request of a caller; all attempts of the request share the id. */
export type RequestId = Branded<string, 'RequestId'>;
/** Identifies a model. */
export type ModelId = Branded<string, 'ModelId'>;
/** Identifies a tier of a price list. */
export type TierId = Branded<string, 'TierId'>;
/** Identifies a price list. */
export type PriceListId = Branded<string, 'PriceListId'>;
/** Identifies a plain service. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** Identifies a grant that the owner of a replica gave. */
export type GrantId = Branded<string, 'GrantId'>;
/** A SHA-256 digest in lower-case hexadecimal. */
export type Digest = Branded<string, 'Digest'>;

export const NodeId = (s: string) => s as NodeId;
export const DataCentreId = (s: string) => s as DataCentreId;
export const AccountId = (s: string) => s as AccountId;
export const UpstreamId = (s: string) => s as UpstreamId;
export const ReplicaId = (s: string) => s as ReplicaId;
export const RequestId = (s: string) => s as RequestId;
export const ModelId = (s: string) => s as ModelId;
export const TierId = (s: string) => s as TierId;
export const PriceListId = (s: string) => s as PriceListId;
export const ServiceId = (s: string) => s as ServiceId;
export const GrantId = (s: string) => s as GrantId;
