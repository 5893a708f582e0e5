/** The first HTTP status of a final answer; lower ones are interim answers. */
export const firstFinalStatus = 200;

/** Whether answers with a status have no body, whatever their headers say. */
export function isBodyless(status: number): boolean {
  return status === 204 || status === 304;
}

/** The first HTTP status that reports a server error. */
export const firstServerError = 500;
