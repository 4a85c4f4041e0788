// No trouble, no retries, servers with ten times the capacity needed; each customer uses three fifths of its rate.
// Every refusal on this day is unnecessary.
local common = import 'common.libsonnet';
common.day {
  name: 'calm-day',
  title: 'no trouble, room for all: nobody should be refused',
  length: '60s',
  servers: [common.server(i) { cores: 16, queue: 200 } for i in std.range(0, 8)],
  work: { 'slot-lookup': 8, 'gate-booking': 6, 'fee-payment': 8 },
  customers: [
    { name: 'basic', count: 50, plan: 'basic', rate: 0.96 },
    { name: 'standard', count: 20, plan: 'standard', rate: 2.88 },
    { name: 'metered', count: 8, plan: 'metered', rate: 2.4 },
  ],
  retries: 0,
}
