/** The text that a stand-in model writes: a function of the prompt, the seed and every layer in order. */

import { hash32 } from '@tanagercart/base';

const words =
  'dry the trays in slow even air until the skin is soft and sweet then turn them by hand'.split(
    ' ',
  );

/** Fewest and most tokens of an answer that ends by itself. */
const minNaturalTokens = 8;
const maxNaturalTokens = 40;

/** What decides an answer. */
export interface AnswerInput {
  readonly model: string;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  readonly seed: number;
}

/** The state that enters layer 0 for the token at `index`, after the token `before`. */
export function inputState(p: AnswerInput, index: number, before: string): number {
  return hash32([p.model, p.version, p.adapter ?? '', p.prompt, p.seed, index, before].join('|'));
}

/** Runs the layers from `from` up to `to` on a state. */
export function runLayers(hidden: number, from: number, to: number): number {
  let h = hidden;
  for (let layer = from; layer < to; layer += 1) h = hash32(`${h}|${layer}`);
  return h;
}

/** The token that the state after the last layer stands for. */
export function tokenOf(hidden: number): string {
  return `${words[hidden % words.length]!} `;
}

/** How many tokens the answer has when nothing cuts it. */
export function naturalTokenCount(p: AnswerInput): number {
  return (
    minNaturalTokens + (hash32(`${p.prompt}|${p.seed}`) % (maxNaturalTokens - minNaturalTokens))
  );
}

/** The whole answer that a model of `layers` layers gives. */
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
