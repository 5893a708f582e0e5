/**
 * The data folder of a process. A file's bytes are durable only once `sync` or
 * `replace` has returned; bytes that were not synced may be lost, completely or
 * in part, in a crash. After a failed sync the content of the file is unknown:
 * the caller must stop using it and start again from the content of the disk.
 */
export abstract class Disk {
  /** Reads the whole content, or undefined when there is no such file. */
  abstract read(name: string): Promise<Buffer | undefined>;
  /** Lists the names of all files in the folder. */
  abstract list(): Promise<string[]>;
  /** Opens a file for appending; creates it if it is missing. */
  abstract open(name: string): Promise<Appender>;
  /**
   * Replaces a whole file atomically and durably: writes and syncs a temporary
   * file, renames it and syncs the folder.
   */
  abstract replace(name: string, content: Uint8Array): Promise<void>;
  /** Removes a file durably; a missing file is not an error. */
  abstract remove(name: string): Promise<void>;
}

/** A file that is open for appending. */
export abstract class Appender {
  /** Writes at the end of the file; not durable before `sync`. */
  abstract append(content: Uint8Array): Promise<void>;
  /** Makes all appended bytes durable. */
  abstract sync(): Promise<void>;
  /** Truncates the file to `length` bytes, durably. */
  abstract truncate(length: number): Promise<void>;
  abstract close(): Promise<void>;
}
