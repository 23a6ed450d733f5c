"""dnspython, the resolver that most Python programs use."""

import sys

import dns.exception
import dns.resolver

host, port, name = sys.argv[1:]
resolver = dns.resolver.Resolver(configure=False)
resolver.nameservers = [host]
resolver.port = int(port)
try:
    records = list(resolver.resolve(name, "SRV"))
    lowest = sorted(str(r.target).rstrip(".") for r in records)[0]
    print(f"{len(records)} records, {lowest}")
except dns.exception.DNSException as error:
    print(f"error {type(error).__name__}")
