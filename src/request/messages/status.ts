/** HTTP statuses from this one on say that the server failed. */
export const firstServerError = 500;
