// The servers and groups that a Router knows, updated from the endpoint list and from observed roles.
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

  // Returns null if the server is unknown.
  Server* Find(ServerId id);
  const Server* Find(ServerId id) const;
  // Returns a known server, such as a member of a group.
  Server& At(ServerId id) { return servers_.at(id); }
  const Server& At(ServerId id) const { return servers_.at(id); }
  bool HasGroup(int group) const { return groups_.contains(group); }
  Group& GroupAt(int group) { return groups_.at(group); }
  std::map<ServerId, Server>& servers() { return servers_; }
  std::map<int, Group>& groups() { return groups_; }
  // The largest number of servers that were open at the same time.
  std::size_t peak_open_count() const { return peak_open_count_; }

  // Applies an update and requests health checks of servers that became ready or were newly listed as
  // primary.
  void Apply(const EndpointListUpdate& update, HealthChecks& checks, EventScope& scope);
  // Records the role that a server had at `when`, unless a newer role is known.
  void ObserveRole(Server& server, Role role, Micros when);
  // UpdateLastOpenTimes records which servers are open now. RemoveGoneServers removes those that closed
  // long ago and have nothing in flight; without it the table would grow without bound, since replacement
  // servers get new ids.
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
