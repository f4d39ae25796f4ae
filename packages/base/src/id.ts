/** Branded ids: strings of one kind that cannot be passed for another. */

declare const brand: unique symbol;

/** A value of type `T` marked with the brand `B`. */
export type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Names one instance of the system. */
export type NodeId = Branded<string, 'NodeId'>;
/** Names a data centre. */
export type DataCentreId = Branded<string, 'DataCentreId'>;
/** Names a client account. */
export type AccountId = Branded<string, 'AccountId'>;
/** Names one upstream instance: a stage of an engine or a plain service. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** Names a replica: a chain of stages that hold every layer of a model once. */
export type ReplicaId = Branded<string, 'ReplicaId'>;
/** Names one caller's request; all its attempts share it. */
export type RequestId = Branded<string, 'RequestId'>;
/** Names a model. */
export type ModelId = Branded<string, 'ModelId'>;
/** Names a tier of a price list. */
export type TierId = Branded<string, 'TierId'>;
/** Names a price list. */
export type PriceListId = Branded<string, 'PriceListId'>;
/** Names a plain service. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** Names a grant given by the owner of a replica. */
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
