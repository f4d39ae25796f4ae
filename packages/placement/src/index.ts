/** Orders to upstreams: loading models, adapters and versions, and changing roles. */

export {};
