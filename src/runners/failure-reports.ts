/** The hints that routers exchange about one failing runner: those received lately, and when the next may be published (design/status 5). */

const REPORT_WINDOW_MS = 900;
/** A router reports one runner no more often, so that two reports within the window come from two routers. */
const REPORT_INTERVAL_MS = 1000;

/** The reports on one runner; times are milliseconds of the steady clock. */
export class FailureReports {
  /** Reports of other routers in the present window. */
  receivedCount = 0;
  private windowStart = -Infinity;
  private publishedAt = -Infinity;
  private hasUnpublishedFailure = false;

  recordReceived(now: number): void {
    if (now - this.windowStart >= REPORT_WINDOW_MS) {
      this.windowStart = now;
      this.receivedCount = 0;
    }
    this.receivedCount += 1;
  }

  /** A failure of this router's own is to be published. */
  recordOwnFailure(): void {
    this.hasUnpublishedFailure = true;
  }

  /**
   * Whether a report is to be published now, for a failure or for silence; a failure is due once. `isWidespread`: most
   * peers fail, so that the cause is not the runner's, and nothing is published.
   */
  takeDue(now: number, isSilent: boolean, isWidespread: () => boolean): boolean {
    if ((!this.hasUnpublishedFailure && !isSilent) || now - this.publishedAt < REPORT_INTERVAL_MS) return false;
    this.hasUnpublishedFailure = false;
    if (isWidespread()) return false;
    this.publishedAt = now;
    return true;
  }
}
