/**
 * The text that a stand-in model generates. It is a function of the prompt, the seed and every
 * layer in order, so that a test detects a token that was lost, duplicated or taken from another
 * request, and a layer that was skipped.
 */

import { hash32 } from '@tanagercart/base';

const words =
  'dry the trays in slow even air until the skin is soft and sweet then turn them by hand'.split(
    ' ',
  );

/** Bounds on the number of tokens of an answer that `maxTokens` does not cut. */
const minNaturalTokens = 8;
const maxNaturalTokens = 40;

/** The inputs that determine an answer. */
export interface AnswerInput {
  readonly model: string;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  readonly seed: number;
}

/** The hidden state that enters layer 0 for the token at `index`, given the token before it. */
export function inputState(p: AnswerInput, index: number, before: string): number {
  return hash32([p.model, p.version, p.adapter ?? '', p.prompt, p.seed, index, before].join('|'));
}

/** Applies the layers from `from` up to but not including `to` to a hidden state. */
export function runLayers(hidden: number, from: number, to: number): number {
  let h = hidden;
  for (let layer = from; layer < to; layer += 1) h = hash32(`${h}|${layer}`);
  return h;
}

/** Decodes the hidden state after the last layer into a token. */
export function tokenOf(hidden: number): string {
  return `${words[hidden % words.length]!} `;
}

/** Number of tokens of the answer if `maxTokens` does not cut it. */
export function naturalTokenCount(p: AnswerInput): number {
  return (
    minNaturalTokens + (hash32(`${p.prompt}|${p.seed}`) % (maxNaturalTokens - minNaturalTokens))
  );
}

/** All tokens that a model of `layers` layers generates, up to `maxTokens`. */
export function expectedAnswer(
  p: AnswerInput,
  layers: number,
  maxTokens: number,
): readonly string[] {
  const tokens: string[] = [];
  const length = Math.min(naturalTokenCount(p), maxTokens);
  for (let i = 0; i < length; i += 1) {
    tokens.push(tokenOf(runLayers(inputState(p, i, tokens.at(-1) ?? ''), 0, layers)));
  }
  return tokens;
}
