#include "src/server/counters_log.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

// `title: name=value name=value`
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

void LogClients(const ClientFront& listener) {
  const FrontCounters& counters = listener.counters();
  CounterLine line("clients");
  line.Add("open", listener.clients());
  line.Add("accepted", counters.accepted);
  line.Add("turned_away", counters.turned_away);
  line.Add("shed", counters.shed);
  line.Add("idle", counters.idle);
  line.Add("silent", counters.silent);
  line.Add("malformed", counters.malformed);
  line.Add("accept_errors", counters.accept_errors);
  LogInfo("clients", line.text());
}

void LogServers(const ServerPool& pool) {
  const PoolCounters& counters = pool.counters();
  CounterLine line("servers");
  line.Add("open", pool.connections());
  line.Add("opened", counters.opened);
  line.Add("open_failed", counters.open_failed);
  line.Add("retired", counters.retired);
  line.Add("given_up", counters.given_up);
  line.Add("broken", counters.broken);
  line.Add("garbage", counters.garbage);
  line.Add("stray", counters.stray);
  line.Add("no_room", counters.no_room);
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
  line.Add("disagreed", counters.disagreed);
  line.Add("held_down", counters.held_down);
  line.Add("admitted", counters.admitted);
  line.Add("over", counters.over);
  LogInfo("membership", line.text());
}

void LogZone(const Directory::ZoneView& zone) {
  CounterLine line("zone " + zone.source);
  line.Add("instances", zone.instances.size());
  line.Add("looks", zone.browser.looks);
  line.Add("told", zone.browser.told);
  line.Add("failed", zone.browser.failed);
  line.Add("old_copies", zone.browser.old_copies);
  line.Add("no_authority", zone.browser.no_authority);
  line.Add("bad_records", zone.browser.bad_records);
  line.Add("over", zone.browser.over);
  line.Add("transfers", zone.browser.transfers);
  line.Add("queries", zone.retries.sent);
  line.Add("streams", zone.retries.streams);
  line.Add("timeouts", zone.retries.timeouts);
  line.Add("switched", zone.retries.switched);
  LogInfo("zone", line.text());
}

void LogDirectory(const Directory& directory) {
  LogMembership(directory.membership());
  for (const Directory::ZoneView& zone : directory.Zones()) LogZone(zone);
}

void LogRegistryWatch(const DiscoveryWatch& registry_watch) {
  const DiscoveryCounters& counters = registry_watch.counters();
  CounterLine line("discovery");
  line.Add("connects", counters.connects);
  line.Add("lost", counters.lost);
  line.Add("bad_lines", counters.bad_lines);
  LogInfo("discovery", line.text());
}

}  // namespace

void LogCounters(const CounterSources& sources, Micros now) {
  LogInfo("figures", "figures: " + ToText(sources.dispatcher.FiguresAt(now), ' '));
  LogInfo("requests", "requests: " + ToText(sources.dispatcher.counters()));
  LogClients(sources.listener);
  LogServers(sources.pool);
  if (sources.admin_server) LogAdminServer(*sources.admin_server);
  if (sources.directory) LogDirectory(*sources.directory);
  LogRegistryWatch(sources.registry_watch);
}

}  // namespace tulipyoke::net
