// The troubles that test the rules, within a quarter of a minute: for a quick run, and to verify that injected faults
// are detected.
local common = import 'common.libsonnet';
common.day {
  name: 'short-day',
  title: 'cut answers, a drain, new cold servers, a hot customer, in 14 s',
  length: '14s',
  customers: [
    { name: 'basic', count: 30, plan: 'basic', rate: 1.2 },
    { name: 'standard', count: 24, plan: 'standard', rate: 5 },
    { name: 'metered', count: 4, plan: 'metered', rate: 3 },
  ],
  troubles: [
    { name: 'hot_key', at: '1s', len: '11s', size: 4, target: 'metered' },
    { name: 'cut_answers', at: '2s', len: '4s', part: 0.4, size: 0.3 },
    { name: 'drain', at: '3s', len: '6s', target: 's4' },
    { name: 'preempt', at: '2s', len: '3s', part: 0.1 },
    { name: 'grow', at: '5s' },
  ],
}
