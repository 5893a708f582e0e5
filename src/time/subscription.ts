/** A scheduled task or a watch; cancelling it repeatedly has no effect. */
export interface Subscription {
  cancel(): void;
}
