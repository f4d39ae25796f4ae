/** Faults that a stand-in stage can be given. */

/** Switches of one stage; all are off at first. */
export interface StageFaults {
  /** Tokens after which the stage dies in the middle of a stream. */
  crashAfterTokens?: number | undefined;
  /** Whether it takes work and gives nothing. */
  stalled?: boolean;
  /** Part of a prompt on which it crashes. */
  crashOnPrompt?: string | undefined;
}
