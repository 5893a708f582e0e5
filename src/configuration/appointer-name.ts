const prefix = 'keepers.';

/** The operator name under which a control process appoints keepers. */
export function appointerName(control: string): string {
  return `${prefix}${control}`;
}

/** Whether a command comes from the system's own appointment of keepers. */
export function isAppointer(operator: string): boolean {
  return operator.startsWith(prefix);
}
