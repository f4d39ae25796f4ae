/** Faults that a test can inject into a stand-in stage. */

/** The faults of one stage; all are off by default. */
export interface StageFaults {
  /** Number of processed tokens after which the stage crashes in the middle of a stream. */
  crashAfterTokens?: number | undefined;
  /** Whether the stage accepts work but produces no tokens. */
  stalled?: boolean;
  /** The stage crashes on any prompt that contains this text. */
  crashOnPrompt?: string | undefined;
}
