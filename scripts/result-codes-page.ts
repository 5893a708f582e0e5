import type {Code} from '../src/result/code.js';

/** Generates docs/RESULT_CODES.md from the table of result codes. */

const head = `# Result codes

Generated from \`src/admin/result-table.ts\` by \`npm run docs\`; a test checks that the page is current. Every refusal, answer and log line of the program contains one of these numbers. A number is never reused for another meaning.

\`effect\` says whether the work ran:

- \`done\`: it ran once, and the answer is complete.
- \`not-run\`: no part of it began; a resend is safe.
- \`unknown\`: it may have begun; a resend is safe only if the request is idempotent or has the same idempotency key or command id.

\`HTTP\` is the status of the response that carries the code to a caller, if any.

`;

const ranges = [
  {from: 1000, title: 'Common'},
  {from: 2000, title: 'Configuration and operators'},
  {from: 3000, title: 'Consensus and storage'},
  {from: 4000, title: 'Distribution'},
  {from: 5000, title: 'Requests'},
  {from: 6000, title: 'Claims of idempotency keys'},
  {from: 7000, title: 'Endpoints and membership'},
  {from: 8000, title: 'Administration and reports'},
] as const;

/** Renders the page. */
export function renderResultCodes(table: readonly Code[]): string {
  const parts = ranges.map(({from, title}) => {
    const codes = table.filter(
      code => code.number >= from && code.number < from + 1000,
    );
    return renderRange(title, from, codes);
  });
  return head + parts.join('\n');
}

function renderRange(
  title: string,
  from: number,
  codes: readonly Code[],
): string {
  const rows = codes.map(
    code =>
      `| ${code.number} | \`${code.name}\` | ${code.effect} | ${code.status} | ${code.meaning.replaceAll('|', '\\|')} |\n`,
  );
  return `## ${title}: ${from} to ${from + 999}\n\n| number | name | effect | HTTP | meaning and action |\n|---|---|---|---|---|\n${rows.join('')}`;
}
