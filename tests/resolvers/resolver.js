// c-ares as Node has it: the resolver that several proxies are built with.
const { Resolver } = require('node:dns').promises;

const [host, port, name] = process.argv.slice(2);
const resolver = new Resolver();
resolver.setServers([`${host}:${port}`]);
resolver.resolveSrv(name).then(
  (records) => console.log(`${records.length} records, ${records.map((r) => r.name).sort()[0]}`),
  (error) => console.log(`error ${error.code}`),
);
