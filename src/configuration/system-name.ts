const keeperAssignerPrefix = 'keepers.';
const quarantineControllerPrefix = 'quarantine.';
const rolloutControllerPrefix = 'rollout.';

/** The operator name with which a control process assigns keepers. */
export function keeperAssignerName(control: string): string {
  return `${keeperAssignerPrefix}${control}`;
}

/** The operator name with which a control process quarantines requests. */
export function quarantineControllerName(control: string): string {
  return `${quarantineControllerPrefix}${control}`;
}

/** The operator name with which a control process carries out roll-outs. */
export function rolloutControllerName(control: string): string {
  return `${rolloutControllerPrefix}${control}`;
}

/** Whether an operator name belongs to a control process. */
export function isSystemOperator(operator: string): boolean {
  return (
    operator.startsWith(keeperAssignerPrefix) ||
    operator.startsWith(quarantineControllerPrefix) ||
    operator.startsWith(rolloutControllerPrefix)
  );
}
