/** Exit codes of the command line. */

/** The command succeeded. */
export const success = 0;

/** The command failed: the system refused the call, or a check found a problem. */
export const failure = 1;

/** The arguments do not match any command. */
export const usageError = 2;
