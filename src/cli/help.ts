/** What `foxbarrow --help` prints. */
export const help = `foxbarrow: configuration distribution for a service mesh

Usage:
  foxbarrow control FILE          run a control process with these settings
  foxbarrow relay FILE            run a relay process
  foxbarrow node FILE             run the proxy beside an upstream
  foxbarrow check-settings FILE   check a settings file and exit
  foxbarrow report burn           service-level burn of the nodes
  foxbarrow COMMAND ...           an operator command; 'foxbarrow help' lists them
  foxbarrow --help                print this
  foxbarrow --version             print the version

SIGTERM or SIGINT is a planned stop: no new work is taken, what is in flight
ends, and the process exits 0. A second signal ends it at once.

Exit codes: 0 done; 1 tried and failed; 2 the command line or the settings are
not usable; 130 or 143 ended by a second SIGINT or SIGTERM. A control process
whose disk failed exits 3; operator commands have more, see 'foxbarrow help'.
`;
