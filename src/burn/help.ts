/** What `foxbarrow report burn --help` prints. */
export const burnHelp = `foxbarrow report burn: error budget and burn rates by service and objective

  --node ADDRESS        a node's admin address; repeatable, or a list separated
                        by commas
  --nodes FILE          file of admin addresses, one per line
  --control ADDRESS     control process that gives the objectives of the
                        policies in force (default: FOXBARROW_CONTROL; the
                        operators' token is FOXBARROW_TOKEN)
  --objectives FILE     file of objectives: [{policy, target, latency}]
  --samples FILE        file that stores samples between runs; without it a run
                        uses only its own samples
  --for DURATION        how long to sample (90s, 5m, 2h); default: one scrape
  --every DURATION      interval between scrapes, 10s by default
  --period DURATION     length of the budget period, 30d by default; the windows
                        scale with it
  --json                prints the report as JSON
  --html FILE           writes the report as one HTML page with plots

Burn rates need two scrapes: use --for, or run the command again with --samples.
Without nodes the report covers only the samples file.

Exit codes: 0 report written; 1 nothing could be read; 2 invalid command line.
`;
