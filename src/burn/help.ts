/** What `foxbarrow report burn --help` prints. */
export const burnHelp = `foxbarrow report burn: budget left and burn rates by service and objective

  --node ADDRESS        a node's admin address; repeat, or commas between
  --nodes FILE          admin addresses, one a line
  --control ADDRESS     objectives from the policies in force
                        (else FOXBARROW_CONTROL; FOXBARROW_TOKEN goes with it)
  --objectives FILE     objectives from a file: [{policy, target, latency}]
  --samples FILE        keeps samples between runs; without it a run knows
                        only what it saw itself
  --for DURATION        samples for this long (90s, 5m, 2h); one scrape without
  --every DURATION      between two scrapes, 10s by default
  --period DURATION     how long a budget lasts, 30d by default; the windows
                        scale with it
  --json                the report as JSON
  --html FILE           the report as one page with plots

Burn rates need two scrapes: use --for, or run it again with --samples.
Without nodes, the samples file alone is reported.

Exit codes: 0 reported; 1 nothing could be read; 2 usage.
`;
