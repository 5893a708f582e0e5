/**
 * The one data folder of a process. A file's bytes last only once `sync` (or
 * `replace`) has returned; whatever was not synced may be gone, whole or in
 * part, after a crash. A failed sync leaves the file's content unknown: the
 * caller must stop using it and start again from what is on disk.
 */
export abstract class Disk {
  /** The whole content, or undefined when there is no such file. */
  abstract read(name: string): Promise<Buffer | undefined>;
  /** Names of all files in the folder. */
  abstract list(): Promise<string[]>;
  /** Opens a file for appending, creating it when it is missing. */
  abstract open(name: string): Promise<Appender>;
  /**
   * Replaces a whole file atomically and durably: temporary file, sync,
   * rename, sync of the folder.
   */
  abstract replace(name: string, content: Uint8Array): Promise<void>;
  /** Removes a file durably; a missing one is no error. */
  abstract remove(name: string): Promise<void>;
}

/** A file open for appending. */
export abstract class Appender {
  /** Writes at the end; not durable before `sync`. */
  abstract append(content: Uint8Array): Promise<void>;
  /** Makes all that was appended durable. */
  abstract sync(): Promise<void>;
  /** Cuts the file to `length` bytes, durably. */
  abstract truncate(length: number): Promise<void>;
  abstract close(): Promise<void>;
}
