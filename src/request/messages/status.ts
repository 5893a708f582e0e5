/** The first HTTP status of a final answer; lower ones are interim answers. */
export const firstFinalStatus = 200;

/** The first HTTP status that reports a server error. */
export const firstServerError = 500;
