#include "src/server/counters_log.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

// Builds a line of the form `title: name=value name=value`.
class CounterLine {
 public:
  explicit CounterLine(std::string_view title) : text_(std::string(title) + ":") {}

  CounterLine& Add(std::string_view name, std::uint64_t value) {
    text_ += " " + std::string(name) + "=" + std::to_string(value);
    return *this;
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

void LogClients(const ClientListener& listener) {
  const ListenerCounters& counters = listener.counters();
  CounterLine line("clients");
  line.Add("open", listener.clients());
  line.Add("accepted", counters.accepted);
  line.Add("turned_away", counters.rejected);
  line.Add("shed", counters.evicted);
  line.Add("idle", counters.idle_timeouts);
  line.Add("silent", counters.read_timeouts);
  line.Add("malformed", counters.malformed);
  line.Add("accept_errors", counters.accept_errors);
  LogInfo("clients", line.text());
}

void LogServers(const UpstreamPool& pool) {
  const UpstreamPoolCounters& counters = pool.counters();
  CounterLine line("servers");
  line.Add("open", pool.connections());
  line.Add("opened", counters.opened);
  line.Add("open_failed", counters.connect_failed);
  line.Add("retired", counters.idle_closed);
  line.Add("given_up", counters.cancelled);
  line.Add("broken", counters.lost_while_busy);
  line.Add("garbage", counters.malformed);
  line.Add("stray", counters.unsolicited);
  line.Add("no_room", counters.limit_exceeded);
  LogInfo("servers", line.text());
}

void LogAdminServer(const AdminServer& admin_server) {
  const AdminCounters& counters = admin_server.counters();
  CounterLine line("door");
  line.Add("calls", counters.requests);
  line.Add("bad", counters.malformed);
  line.Add("silent", counters.timed_out);
  LogInfo("door", line.text());
}

void LogMembership(const membership::Membership& membership) {
  const membership::Counters& counters = membership.counters();
  CounterLine line("membership");
  line.Add("servers", membership.size());
  line.Add("vanished", counters.vanished);
  line.Add("returned", counters.returned);
  line.Add("restarts", counters.restarts);
  line.Add("moved", counters.moved);
  line.Add("disagreed", counters.conflicts);
  line.Add("held_down", counters.suppressed);
  line.Add("admitted", counters.admitted);
  line.Add("over", counters.over_limit);
  LogInfo("membership", line.text());
}

void LogZone(const discovery::ServiceDiscovery::ZoneStatus& zone) {
  CounterLine line("zone " + zone.source);
  line.Add("instances", zone.instances.size());
  line.Add("looks", zone.browser.polls);
  line.Add("told", zone.browser.accepted_lists);
  line.Add("failed", zone.browser.failed_queries);
  line.Add("old_copies", zone.browser.stale_answers);
  line.Add("no_authority", zone.browser.non_authoritative);
  line.Add("bad_records", zone.browser.rejected_records);
  line.Add("over", zone.browser.oversized_lists);
  line.Add("transfers", zone.browser.transfers);
  line.Add("queries", zone.resolver.udp_queries);
  line.Add("streams", zone.resolver.tcp_queries);
  line.Add("timeouts", zone.resolver.timeouts);
  line.Add("switched", zone.resolver.failovers);
  LogInfo("zone", line.text());
}

void LogDnsSdDiscovery(const discovery::ServiceDiscovery& dns_sd_discovery) {
  LogMembership(dns_sd_discovery.membership());
  for (const discovery::ServiceDiscovery::ZoneStatus& zone : dns_sd_discovery.ZoneStatuses()) LogZone(zone);
}

void LogRegistryWatch(const discovery::RegistryWatch& registry_watch) {
  const discovery::RegistryWatchCounters& counters = registry_watch.counters();
  CounterLine line("discovery");
  line.Add("connects", counters.connects);
  line.Add("lost", counters.disconnects);
  line.Add("bad_lines", counters.invalid_values);
  LogInfo("discovery", line.text());
}

}  // namespace

void LogCounters(const CounterSources& sources, Micros now) {
  LogInfo("figures", "figures: " + ToText(sources.dispatcher.StatisticsAt(now), ' '));
  LogInfo("requests", "requests: " + ToText(sources.dispatcher.counters()));
  LogClients(sources.listener);
  LogServers(sources.pool);
  if (sources.admin_server) LogAdminServer(*sources.admin_server);
  if (sources.dns_sd_discovery) LogDnsSdDiscovery(*sources.dns_sd_discovery);
  LogRegistryWatch(sources.registry_watch);
}

}  // namespace tulipyoke::net
