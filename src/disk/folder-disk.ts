import {mkdir, open, readFile, readdir, rename, rm} from 'node:fs/promises';
import type {FileHandle} from 'node:fs/promises';
import {join} from 'node:path';
import {Appender, Disk} from './disk.js';

/**
 * Creates a disk on a folder of the file system; creates the folder if missing.
 */
export async function createFolderDisk(folder: string): Promise<Disk> {
  await mkdir(folder, {recursive: true});
  const pathOf = (name: string) => join(folder, name);

  return new (class extends Disk {
    async read(name: string): Promise<Buffer | undefined> {
      try {
        return await readFile(pathOf(name));
      } catch (error) {
        if (isMissing(error)) return undefined;
        throw error;
      }
    }

    async list(): Promise<string[]> {
      const names = await readdir(folder);
      return names.sort();
    }

    async open(name: string): Promise<Appender> {
      const handle = await open(pathOf(name), 'a');
      await syncFolder(folder);
      return createAppender(handle);
    }

    async replace(name: string, content: Uint8Array): Promise<void> {
      const temporary = pathOf(`${name}.new`);
      const handle = await open(temporary, 'w');
      try {
        await handle.writeFile(content);
        await handle.sync();
      } finally {
        await handle.close();
      }
      await rename(temporary, pathOf(name));
      await syncFolder(folder);
    }

    async remove(name: string): Promise<void> {
      await rm(pathOf(name), {force: true});
      await syncFolder(folder);
    }
  })();
}

function createAppender(handle: FileHandle): Appender {
  return new (class extends Appender {
    async append(content: Uint8Array): Promise<void> {
      await handle.appendFile(content);
    }

    async sync(): Promise<void> {
      await handle.datasync();
    }

    async truncate(length: number): Promise<void> {
      await handle.truncate(length);
      await handle.sync();
    }

    async close(): Promise<void> {
      await handle.close();
    }
  })();
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

function isMissing(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ENOENT';
}
