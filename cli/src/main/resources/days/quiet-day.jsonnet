local common = import 'common.libsonnet';
common.day { name: 'quiet-day', title: 'no trouble at all', length: '10s' }
