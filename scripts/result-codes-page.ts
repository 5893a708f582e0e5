import type {Code} from '../src/result/code.js';

/** Makes docs/RESULT_CODES.md from the table of result codes. */

const head = `# Result codes

Made from \`src/admin/result-table.ts\` by \`npm run docs\`; a test keeps it so. Every refusal, answer and log line of the program names one of these numbers. A number is never reused for another meaning.

\`effect\` says what is known of the work:

- \`done\`: it ran, once, and the answer is whole.
- \`not-run\`: no part of it began; sending it again is safe.
- \`unknown\`: it may have begun; only an idempotent resend, or one under the same idempotency key or command id, is safe.

\`HTTP\` is the status that carries the code to a caller, where one does.

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

/** The page's text. */
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
  return `## ${title}: ${from} to ${from + 999}\n\n| number | name | effect | HTTP | meaning, and what to do |\n|---|---|---|---|---|\n${rows.join('')}`;
}
