/** Measurements of the product, printed as JSON and tables. */

export {};
