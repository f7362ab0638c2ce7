#include "src/endpoints/endpoint_table.hpp"

#include <algorithm>

namespace tulipyoke::endpoints {

Server* EndpointTable::Find(ServerId id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

const Server* EndpointTable::Find(ServerId id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

void EndpointTable::Apply(const EndpointListUpdate& update, HealthChecks& checks, EventScope& scope) {
  const bool cached = update.kind == EndpointListKind::kCached;
  if (cached || update.kind == EndpointListKind::kFull) CloseUnlisted(update);
  for (const EndpointEntry& entry : update.entries) ApplyEntry(entry, cached, checks, scope);
  for (auto& [number, group] : groups_) UpdatePrimary(group);
  const auto open =
      std::count_if(servers_.begin(), servers_.end(), [](const auto& known) { return known.second.open; });
  peak_open_count_ = std::max(peak_open_count_, static_cast<std::size_t>(open));
}

void EndpointTable::CloseUnlisted(const EndpointListUpdate& update) {
  if (context_.settings.use_gone_servers) return;
  for (auto& [id, server] : servers_) {
    const auto is_listed = [&, key = id](const EndpointEntry& entry) { return entry.server == key; };
    if (std::none_of(update.entries.begin(), update.entries.end(), is_listed)) server.open = false;
  }
}

void EndpointTable::ApplyEntry(const EndpointEntry& entry, bool cached, HealthChecks& checks,
                               EventScope& scope) {
  Server* known = Find(entry.server);
  if (!known && entry.state == ServerState::kGone) return;
  Server& server = known ? *known : AddServer(entry, scope.now);
  const bool was_open = server.open;
  SetState(server, entry.state);
  if (entry.boot_time > server.boot_time) {
    server.boot_time = entry.boot_time;
    server.OnRestart(std::max(server.slow_start_from, entry.boot_time));
  } else if (!known && !cached && entry.boot_time == 0) {
    server.slow_start_from = scope.now;
  }
  const ListedRole listed_role = context_.settings.listed_role;
  const bool promoted = entry.listed_primary && !server.listed_primary;
  if (promoted && known && listed_role == ListedRole::kDelayed) checks.Request(server, 0, scope);
  server.listed_primary = entry.listed_primary && listed_role != ListedRole::kNever;
  if (server.open && !was_open && !cached) checks.Request(server, 0, scope);
}

Server& EndpointTable::AddServer(const EndpointEntry& entry, Micros now) {
  Server& server = servers_[entry.server];
  server.known_since = now;
  server.id = entry.server;
  server.group = entry.group;
  server.zone = entry.zone;
  groups_[entry.group].members.push_back(entry.server);
  return server;
}

void EndpointTable::SetState(Server& server, ServerState state) const {
  if (state == ServerState::kReady) server.open = true;
  if (state == ServerState::kDraining) server.open = false;
  if (state == ServerState::kGone && !context_.settings.use_gone_servers) server.open = false;
}

void EndpointTable::ObserveRole(Server& server, Role role, Micros when) {
  if (role == Role::kUnknown || when < server.role_time) return;
  server.role = role;
  server.role_time = when;
  UpdatePrimary(groups_[server.group]);
}

// The group's primary is the member most recently observed as primary. If there is none, it is a member
// with an unknown role that is listed as primary.
void EndpointTable::UpdatePrimary(Group& group) {
  const Server* primary = nullptr;
  const Server* listed = nullptr;
  for (const ServerId id : group.members) {
    const Server& server = At(id);
    const bool newest = !primary || server.role_time > primary->role_time;
    if (server.role == Role::kPrimary && newest) primary = &server;
    if (server.role == Role::kUnknown && server.listed_primary) listed = &server;
  }
  if (!primary) primary = listed;
  group.has_primary = primary != nullptr;
  group.primary = primary ? primary->id : 0;
}

void EndpointTable::UpdateLastOpenTimes(Micros now) {
  for (auto& [id, server] : servers_) {
    if (server.open) server.last_open = now;
  }
}

void EndpointTable::RemoveGoneServers(Micros now) {
  const auto is_gone = [&](const Server& server) {
    return !server.open && !server.health_check.in_progress && server.in_flight.empty() &&
           now - server.last_open > context_.scales.unlisted_retention;
  };
  for (auto& [number, group] : groups_) {
    if (std::erase_if(group.members, [&](ServerId id) { return is_gone(At(id)); }) > 0) UpdatePrimary(group);
  }
  std::erase_if(servers_, [&](const auto& entry) { return is_gone(entry.second); });
}

}  // namespace tulipyoke::endpoints
