/** Sums the demand that entries report. */

import type { ServiceId } from '@tanagercart/base';
import type { FleetDemand, ServiceDemand } from '@tanagercart/protocol';

/** The sum of what entries report, by service and priority; a missing priority counts as none. */
export function sumDemand(reports: readonly (readonly ServiceDemand[])[]): FleetDemand {
  const sums = new Map<ServiceId, number[]>();
  for (const { service, tokensPerSecond } of reports.flat()) {
    const sum = sums.get(service) ?? [];
    tokensPerSecond.forEach((rate, priority) => {
      sum[priority] = (sum[priority] ?? 0) + rate;
    });
    sums.set(service, sum);
  }
  const services = [...sums].map(([service, tokensPerSecond]) => ({ service, tokensPerSecond }));
  return { reporters: reports.length, services };
}

/** Tokens per second by priority for one service. */
export function rateOf(services: readonly ServiceDemand[], service: ServiceId): readonly number[] {
  return services.find((s) => s.service === service)?.tokensPerSecond ?? [];
}
