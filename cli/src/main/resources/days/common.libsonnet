// A dry port's booking day in the small: three halls, nine servers of two kinds, three classes of work.
{
  zones:: ['hall-a', 'hall-b', 'hall-c'],
  settings:: {
    zones: $.zones,
    kinds: ['type-1', 'type-2'],
    classes: [
      { name: 'slot-lookup', aim: '800ms', deadline: '3s', repeat: 'safe', worth: 1, scope: 'booking' },
      { name: 'gate-booking', aim: '500ms', deadline: '1200ms', repeat: 'keyed', group: 'cell', key_window: '1200ms',
        late_value: 0.2, worth: 5, scope: 'booking' },
      { name: 'fee-payment', aim: '1200ms', deadline: '5s', repeat: 'unsafe', late_value: 0.2, worth: 3, scope: 'booking' },
    ],
    routes: [{ path: '/' + c.name, class: c.name, units: 2, units_field: 'Request-Guess' } for c in self.classes],
    plans: [
      { name: 'basic', rate: 4, burst: 16, price: 0.7, beyond_costs: 1.2 },
      { name: 'standard', rate: 12, burst: 30, price: 1.3, beyond_earns: 0.1, beyond_costs: 0 },
      { name: 'metered', rate: 10, burst: 25, price: 1.5, beyond_costs: 0.8,
        ceiling_rate: 12, ceiling_burst: 36, ceiling_slack: 4 },
    ],
    access: { customer_claim: 'client_id', plan_claim: 'plan' },
    introspection: { fresh_for: '4s', negative_for: '1s', stale_for: '20s', wait_most: '1500ms', call_timeout: '300ms' },
    counter: { timeout: '50ms', settles: true, largest: 4 },
    servers: { probes: true, reports: ['waiting', 'active'], max_connections: 64 },
    limits: { write_stall: '5s', head_timeout: '3s', max_retry_after: '1s' },
    rules: { answer_slack: '16ms', cold_from: 0.25, cold_span: '8s', fall_multiple: 1.1, fall_span: '1s' },
  },
  servers:: [
    {
      id: 's%d' % i,
      zone: $.zones[i % 3],
      cell: i % 3,
      kind: if i % 2 == 0 then 'type-1' else 'type-2',
      cores: 3,
      speed: if i % 2 == 0 then 1 else 0.7,
      queue: 30,
      cold_from: 0.25,
      cold_span: '8s',
      fall_multiple: 1.1,
      fall_span: '1s',
    }
    for i in std.range(0, 8)
  ],
  day:: {
    seed: 7,
    nodes: 3,
    settings: $.settings,
    servers: $.servers,
    work: { 'slot-lookup': 30, 'gate-booking': 20, 'fee-payment': 30 },
    customers: [
      { name: 'basic', count: 30, plan: 'basic', rate: 1.2 },
      { name: 'standard', count: 10, plan: 'standard', rate: 4 },
      { name: 'metered', count: 4, plan: 'metered', rate: 3 },
    ],
    mix: { 'slot-lookup': 0.46, 'gate-booking': 0.29, 'fee-payment': 0.25 },
    retries: 1,
    back_off: '100ms',
    patience: [0.5, 1],
    drain_grace: '250ms',
    allowance: '250ms',
    troubles: [],
  },
}
