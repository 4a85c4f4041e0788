// No trouble, but customers with uneven load: all requests through one node, through random nodes, moving abruptly from
// node to node, or in bursts of their whole burst allowance; some send requests rarely, and some at 95 % of their rate.
local common = import 'common.libsonnet';
common.day {
  name: 'lumpy-day',
  title: 'customers who stay, hop, move and burst: shares must follow the demand',
  length: '60s',
  servers: [common.server(i) { cores: 16, queue: 200 } for i in std.range(0, 8)],
  work: { 'slot-lookup': 8, 'gate-booking': 6, 'fee-payment': 8 },
  customers: [
    { name: 'basic-stay', count: 10, plan: 'basic', rate: 0.96, way: 'stay' },
    { name: 'basic-even', count: 10, plan: 'basic', rate: 0.96, way: 'even' },
    { name: 'basic-move', count: 10, plan: 'basic', rate: 0.96, way: 'move' },
    { name: 'basic-burst', count: 10, plan: 'basic', rate: 1, way: 'burst' },
    { name: 'basic-seldom', count: 10, plan: 'basic', rate: 0.017, way: 'even' },
    { name: 'metered-stay', count: 3, plan: 'metered', rate: 2.4, way: 'stay' },
    { name: 'metered-even', count: 3, plan: 'metered', rate: 2.4, way: 'even' },
    { name: 'metered-move', count: 3, plan: 'metered', rate: 2.4, way: 'move' },
    { name: 'metered-burst', count: 3, plan: 'metered', rate: 1, way: 'burst' },
    { name: 'metered-full', count: 3, plan: 'metered', rate: 3.8, way: 'even' },
  ],
  retries: 0,
}
