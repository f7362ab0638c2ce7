// The servers and groups that a Router knows: kept up by updates of the endpoint list and by what is observed
// of their roles.
#ifndef TULIPYOKE_SRC_ENDPOINTS_ENDPOINT_TABLE_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_ENDPOINT_TABLE_HPP_

#include <cstddef>
#include <map>

#include "src/endpoints/health_checks.hpp"
#include "src/endpoints/routing_context.hpp"
#include "src/endpoints/server.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::endpoints {

class EndpointTable {
 public:
  explicit EndpointTable(const RoutingContext& context) : context_(context) {}

  // Null where the server is not known.
  Server* Find(ServerId id);
  const Server* Find(ServerId id) const;
  // Of a member of a group.
  Server& At(ServerId id) { return servers_.at(id); }
  const Server& At(ServerId id) const { return servers_.at(id); }
  bool HasGroup(int group) const { return groups_.contains(group); }
  Group& GroupAt(int group) { return groups_.at(group); }
  std::map<ServerId, Server>& servers() { return servers_; }
  std::map<int, Group>& groups() { return groups_; }
  // The most servers that were open at once.
  std::size_t peak_open_count() const { return peak_open_count_; }

  // Takes in an update, and requests health checks of servers that joined.
  void Apply(const EndpointListUpdate& update, HealthChecks& checks, EventScope& scope);
  // Notes a server's role as it was at `when`; newer evidence holds.
  void ObserveRole(Server& server, Role role, Micros when);
  // Notes which servers are open now, and drops those that left long ago and have nothing in flight: servers
  // are replaced by others under new ids for ever.
  void UpdateLastOpenTimes(Micros now);
  void RemoveGoneServers(Micros now);

 private:
  void CloseUnlisted(const EndpointListUpdate& update);
  void ApplyEntry(const EndpointEntry& entry, bool cached, HealthChecks& checks, EventScope& scope);
  Server& AddServer(const EndpointEntry& entry, Micros now);
  void SetState(Server& server, ServerState state) const;
  void UpdatePrimary(Group& group);

  const RoutingContext& context_;
  std::map<ServerId, Server> servers_;
  std::map<int, Group> groups_;
  std::size_t peak_open_count_ = 0;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_ENDPOINT_TABLE_HPP_
