/** Names of the published metrics; the burn report reads them by these. */
export const metricNames = {
  requests: 'foxbarrow_requests_total',
  latency: 'foxbarrow_request_seconds',
  retries: 'foxbarrow_retries_total',
  gate: 'foxbarrow_gate_requests',
  claims: 'foxbarrow_claims',
  version: 'foxbarrow_configuration_version',
  convergence: 'foxbarrow_convergence_seconds',
  bytes: 'foxbarrow_control_bytes_total',
  group: 'foxbarrow_control_group',
  nodes: 'foxbarrow_nodes',
} as const;
