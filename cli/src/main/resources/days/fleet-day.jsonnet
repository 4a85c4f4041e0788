// The troubles of a simulator's rough day that affect the whole fleet, under the same names, in 40 s.
local common = import 'common.libsonnet';
common.day {
  name: 'fleet-day',
  title: 'shared slowness, a shrinking fleet, a lost zone with its node, clients that hammer',
  length: '40s',
  troubles: [
    { name: 'shared_slow', at: '3s', len: '6s', size: 2 },
    { name: 'shrink', at: '6s', len: '10s', part: 0.34 },
    { name: 'hot_key', at: '10s', len: '12s', size: 5, target: 'standard' },
    { name: 'counter_down', at: '14s', len: '5s', size: 0 },
    { name: 'zone_loss', at: '20s', len: '6s', size: 1, target: 'hall-b' },
    { name: 'grow', at: '22s' },
    { name: 'retry_abuse', at: '24s', len: '8s', size: 10, extra: 0.4, target: 'standard' },
    { name: 'introspection_credentials', at: '29s', len: '3s' },
    { name: 'introspection_garbling', at: '33s', len: '2s' },
    { name: 'list_garbling', at: '30s', len: '3s' },
    { name: 'flush', at: '35s', size: 1 },
  ],
}
