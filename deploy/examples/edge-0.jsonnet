// One edge node of three, for a dry port's booking API. Check it: ./thistlefall check deploy/examples/edge-0.jsonnet
local siblings = 3;
local classes = [
  { name: 'slot-lookup', aim: '800ms', deadline: '3s', repeat: 'safe', worth: 1, scope: 'booking' },
  { name: 'gate-booking', aim: '500ms', deadline: '1200ms', repeat: 'keyed', group: 'cell', key_window: '1200ms',
    late_value: 0.2, worth: 5, scope: 'booking' },
  { name: 'fee-payment', aim: '1200ms', deadline: '5s', repeat: 'unsafe', late_value: 0.2, worth: 3, scope: 'payment' },
];
{
  node: { name: 'edge-0', number: 0, siblings: siblings, zone: 'hall-a' },
  listen: { host: '127.0.0.1', port: 8080 },
  zones: ['hall-a', 'hall-b', 'hall-c'],
  kinds: ['type-1', 'type-2'],
  classes: classes,
  routes: [
    { method: 'GET', path: '/slots*', class: 'slot-lookup', units: 1 },
    { method: 'POST', path: '/bookings', class: 'gate-booking', units: 2 },
    { method: 'POST', path: '/payments', class: 'fee-payment', units: 2 },
  ],
  plans: [
    { name: 'basic', rate: 2, burst: 9, price: 0.7, beyond_costs: 1.2 },
    { name: 'standard', rate: 10, burst: 22, price: 1.3, beyond_earns: 0.1, beyond_costs: 0 },
    { name: 'corridor', rate: 40, burst: 85, price: 1.8, beyond_costs: 0.8 },
  ],
  access: { customer_claim: 'client_id', plan_claim: 'plan', default_plan: 'basic' },
  introspection: { url: 'http://127.0.0.1:9000/introspect', client_id: 'edge', client_secret: 'change me' },
  counter: { parts: ['127.0.0.1:6379'], timeout: '50ms', settles: true, largest: 4 },
  servers: { consul: 'http://127.0.0.1:8500', service: 'booking', reports: ['waiting', 'active'] },
  rules: { cold_from: 0.26, cold_span: '18s', fall_multiple: 4, fall_span: '1s' },
}
