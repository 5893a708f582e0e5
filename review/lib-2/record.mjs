/** What the clients and instances of a script saw, and the rules of RULES.md on it. */
import {createWriteStream} from 'node:fs';

/** Creates a record that writes each event to a file as a line. */
export function createRecord(file) {
  const startedAt = Date.now();
  const out = file === undefined ? undefined : createWriteStream(file);
  const requests = new Map();
  const runs = new Map();
  const counts = {};

  function event(what, facts) {
    const at = ((Date.now() - startedAt) / 1000).toFixed(3);
    out?.write(`${at} ${what} ${JSON.stringify(facts)}\n`);
  }

  return {
    requests,
    runs,
    counts,
    event,
    count(name) {
      counts[name] = (counts[name] ?? 0) + 1;
    },
    sent(request) {
      requests.set(request.id, {...request, sentAt: Date.now()});
    },
    answered(id, answer) {
      const request = requests.get(id);
      request.answer = answer;
      request.answeredAt = Date.now();
    },
    /** An instance begins to work on a request. */
    ran(run) {
      const of = runs.get(run.id) ?? [];
      of.push({...run, at: Date.now()});
      runs.set(run.id, of);
    },
    line: text => out?.write(`${text}\n`),
    close: () =>
      new Promise(resolve =>
        out === undefined ? resolve() : out.end(resolve),
      ),
  };
}

const promises = new Set([408, 421, 429, 503]);

/** The rules that the requests and runs of a record break. */
export function findBroken(record) {
  const broken = {TWICE: [], REFUSED: [], MIXED: [], UNASKED: [], ROUTE: []};
  for (const [id, runs] of record.runs) {
    const request = record.requests.get(id);
    if (request === undefined) {
      broken.UNASKED.push({id, runs});
      continue;
    }
    for (const run of runs) {
      if (
        run.method !== request.method ||
        run.path !== request.path ||
        (run.digest !== undefined && run.digest !== request.digest)
      )
        broken.UNASKED.push({id, run, request});
      if (
        request.callerService !== undefined &&
        run.caller !== request.callerService
      )
        broken.UNASKED.push({id, run, request});
      if (request.services !== undefined && !request.services.has(run.service))
        broken.ROUTE.push({id, run});
    }
    if (request.kind !== 'safe' && runs.length > 1)
      broken.TWICE.push({id, runs});
    if (
      request.kind !== 'safe' &&
      runs.length > 0 &&
      promises.has(request.answer?.status)
    )
      broken.REFUSED.push({id, runs, status: request.answer.status});
  }
  for (const [id, {answer}] of record.requests) {
    if (answer === undefined || answer.status < 200 || answer.status > 299)
      continue;
    const wanted = `result of ${id}\n`;
    const isOwn = answer.signature?.endsWith(`.${id}`) ?? false;
    if (answer.whole && (!isOwn || !answer.body.startsWith(wanted)))
      broken.MIXED.push({id, answer});
    const run = record.runs
      .get(id)
      ?.find(({signature}) => signature === answer.signature);
    if (answer.whole && run?.body !== undefined && run.body !== answer.body)
      broken.MIXED.push({id, answer, due: run.body});
  }
  return broken;
}
