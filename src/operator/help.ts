/** What the command `help` prints. */
export const languageHelp = `Changes (several with ";" between, or lines in begin ... end, are one change):
  put service NAME [slow-start DURATION]
  put policy NAME deadline DURATION [priority critical|normal|background]
      [attempts N] [repeat once|idempotent] [body SIZE]
      [objective PERCENT within DURATION]
  put route NAME prefix PATH [methods GET,POST] to SERVICE under POLICY
  remove service|policy|route NAME
  drain INSTANCE of SERVICE
  undrain INSTANCE
  release QUARANTINE           lets a request through that was held back
  apply "FILE"                 all edits of a file as one change
In front of a change:
  as OPERATOR/SEQUENCE         the command's id; a resend gets the first answer
  expect VERSION               refuse unless this version is in force
Queries:
  show services|policies|routes|drains|quarantines [NAME]
  show in force                what is in force where, and who is behind
  show control                 the control group
  history [N]                  the last changes
  wait VERSION [within DURATION]
The keepers of a service:
  accept loss of SERVICE       its keepers are stopped and their claims given up
The control group:
  replace control OLD with NEW at ADDRESS in FAILURE-DOMAIN
`;

/** What `--help` prints before the language. */
export const optionsHelp = `foxbarrow [options] COMMAND...   one command
foxbarrow [options] shell        commands from standard input, one a line

Options:
  --control ADDRESS   a control process, IP number and port; repeat for more
                      (else FOXBARROW_CONTROL, with commas between)
  --operator NAME     whose command it is (else FOXBARROW_OPERATOR)
  --token-file FILE   file with the operator token (else FOXBARROW_TOKEN)
  --timeout SECONDS   how long to try, 10 by default
  --json              one JSON object for each command

Exit codes: 0 accepted; 2 usage; 3 refused; 4 conflict; 5 unknown outcome;
6 no control process reached. A session gives its highest.

`;
