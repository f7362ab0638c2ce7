// Formats the status of the zones and the merged servers for operators.
#include <cstddef>
#include <sstream>

#include "src/discovery/service_discovery.hpp"

namespace tulipyoke::discovery {
namespace {

constexpr Micros kMicrosPerSecond = 1'000'000;

void WriteZone(std::ostream& out, const ServiceDiscovery::ZoneStatus& zone) {
  out << "zone " << zone.zone << " source=" << zone.source
      << " serial=" << (zone.serial ? std::to_string(*zone.serial) : "unknown")
      << " instances=" << zone.instances.size() << " looks=" << zone.browser.polls
      << " told=" << zone.browser.accepted_lists << " failed=" << zone.browser.failed_queries
      << " old_copies=" << zone.browser.stale_answers << " no_authority=" << zone.browser.non_authoritative
      << " bad_records=" << zone.browser.rejected_records << " over=" << zone.browser.oversized_lists
      << " transfers=" << zone.browser.transfers << " queries=" << zone.resolver.udp_queries
      << " streams=" << zone.resolver.tcp_queries << " timeouts=" << zone.resolver.timeouts
      << " switched=" << zone.resolver.failovers << "\n";
  for (const dnssd::InstanceView& instance : zone.instances) {
    if (!instance.fault) continue;
    out << "  trouble " << instance.name << ": " << dnssd::ToText(*instance.fault) << "\n";
  }
}

void WriteMembership(std::ostream& out, const membership::Membership& membership) {
  const membership::Counters& counts = membership.counters();
  out << "membership servers=" << membership.size() << " vanished=" << counts.vanished
      << " returned=" << counts.returned << " restarts=" << counts.restarts << " moved=" << counts.moved
      << " disagreed=" << counts.conflicts << " held_down=" << counts.suppressed
      << " admitted=" << counts.admitted << " over=" << counts.over_limit << "\n";
}

void WriteServer(std::ostream& out, const membership::ServerView& server, Micros now) {
  out << "server " << server.listed.id << " at " << server.listed.address << " group=" << server.listed.group
      << " site=" << server.listed.zone << " started=" << server.listed.started_unix_ms << " sources=";
  for (std::size_t i = 0; i < server.sources.size(); ++i) out << (i ? "," : "") << server.sources[i];
  out << " for=" << (now - server.since) / kMicrosPerSecond << "s: " << membership::ToText(server.status)
      << "\n";
}

}  // namespace

std::string ToText(const ServiceDiscovery& discovery, Micros now) {
  std::ostringstream out;
  for (const ServiceDiscovery::ZoneStatus& zone : discovery.ZoneStatuses()) WriteZone(out, zone);
  WriteMembership(out, discovery.membership());
  for (const membership::ServerView& server : discovery.membership().ServerViews())
    WriteServer(out, server, now);
  return out.str();
}

}  // namespace tulipyoke::discovery
