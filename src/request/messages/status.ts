/** The first HTTP status that reports a server error. */
export const firstServerError = 500;
