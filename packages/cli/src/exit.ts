/** Exit codes of the command line. */

/** The command did what was asked. */
export const success = 0;

/** The system refused, or something that was checked is wrong. */
export const refusal = 1;

/** The arguments name no command. */
export const wrongUsage = 2;
