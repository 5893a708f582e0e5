/** Text printed by the command `help`. */
export const languageHelp = `Changes (edits separated by ";", or lines in begin ... end, form one change):
  put service NAME [slow-start DURATION]
  put policy NAME deadline DURATION [priority critical|normal|background]
      [attempts N] [repeat once|idempotent] [body SIZE]
      [objective PERCENT within DURATION]
  put route NAME prefix PATH [methods GET,POST] to SERVICE under POLICY
      [keyed|public]
  put workspace NAME [keys "KEY,KEY"] [rate NUMBER [burst NUMBER]]
      [priority critical|normal|background]
  remove service|policy|route|workspace NAME
  drain INSTANCE of SERVICE
  undrain INSTANCE
  release QUARANTINE           end a request's quarantine
  start rollout of SERVICE to VERSION within DURATION
  roll back SERVICE            end its roll-out; the new version gets nothing
  apply "FILE"                 apply all edits of a file as one change
Before a change:
  as OPERATOR/SEQUENCE         the command's id; a resend gets the first answer
  expect VERSION               refuse unless this version is in force
Queries:
  show services|policies|routes|workspaces|drains|quarantines|rollouts [NAME]
  show in force                versions in force, and the nodes that are behind
  show control                 state of the control group
  history [N]                  the last changes
  wait VERSION [within DURATION]
The keepers of a service:
  accept loss of SERVICE       confirm its keepers are stopped; give up their claims
The control group:
  replace control OLD with NEW at ADDRESS in FAILURE-DOMAIN
`;

/** Text that `--help` prints before `languageHelp`. */
export const optionsHelp = `foxbarrow [options] COMMAND...   run one command
foxbarrow [options] shell        run commands from standard input, one per line

Options:
  --control ADDRESS   IP number and port of a control process; may be repeated
                      (default: FOXBARROW_CONTROL, separated by commas)
  --operator NAME     name of the operator (default: FOXBARROW_OPERATOR)
  --token-file FILE   file with the operator token (default: FOXBARROW_TOKEN)
  --timeout SECONDS   how long to try a command (default: 10)
  --json              print one JSON object per command

Exit codes: 0 accepted; 2 usage; 3 refused; 4 conflict; 5 unknown outcome;
6 no control process reached. A shell exits with the highest code of its
commands.

`;
