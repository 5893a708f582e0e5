const appointerPrefix = 'keepers.';
const quarantinePrefix = 'quarantine.';

/** The operator name under which a control process appoints keepers. */
export function keeperAssignerName(control: string): string {
  return `${appointerPrefix}${control}`;
}

/** The operator name under which a control process holds requests back. */
export function quarantineControllerName(control: string): string {
  return `${quarantinePrefix}${control}`;
}

/** Whether a command comes from a control process itself, not an operator. */
export function isSystemOperator(operator: string): boolean {
  return (
    operator.startsWith(appointerPrefix) ||
    operator.startsWith(quarantinePrefix)
  );
}
