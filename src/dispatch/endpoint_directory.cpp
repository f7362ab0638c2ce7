#include "src/dispatch/endpoint_directory.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <string_view>
#include <utility>

namespace tulipyoke {
namespace {

constexpr Micros kMicrosPerMs = 1000;

// Returns the index of the name, or 0 if the name is unknown.
int IndexOfName(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? 0 : static_cast<int>(found - names.begin());
}

// Zones that the configuration does not name are still different from each other and from those that it
// names: servers of two zones do not share the keys of requests. A server without a zone is in the first one.
int IndexOfZone(const std::vector<std::string>& zones, const std::string& zone) {
  const auto found = std::find(zones.begin(), zones.end(), zone);
  if (zone.empty() || found != zones.end()) return IndexOfName(zones, zone);
  constexpr std::size_t kMaxHash = std::size_t{1} << 30;
  return static_cast<int>(zones.size() + std::hash<std::string>{}(zone) % kMaxHash);
}

}  // namespace

EndpointDirectory::EndpointDirectory(std::vector<std::string> zones, std::vector<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {}

EndpointListUpdate EndpointDirectory::Apply(const EndpointList& list, EndpointListKind kind,
                                            std::vector<Command>& commands) {
  EndpointListUpdate update{kind, list.version, {}};
  if (list.complete) RemoveUnlisted(list, commands);
  for (const ListedServer& listed : list.servers) {
    const bool gone = listed.state == ServerState::kGone;
    if (gone && !entries_.contains(listed.id)) continue;
    Entry& entry = FindOrAdd(listed.id);
    UpdateUpstream(entry, listed, commands);
    update.entries.push_back(ToEndpointEntry(listed, entry.server));
    if (gone) entries_.erase(listed.id);
  }
  return update;
}

void EndpointDirectory::RemoveUnlisted(const EndpointList& list, std::vector<Command>& commands) {
  std::set<std::string_view> listed_ids;
  for (const ListedServer& listed : list.servers) listed_ids.insert(listed.id);
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [id, entry] = item;
    if (listed_ids.contains(id)) return false;
    commands.push_back(RemoveServer{entry.server});
    return true;
  });
}

EndpointDirectory::Entry& EndpointDirectory::FindOrAdd(const std::string& id) {
  Entry& entry = entries_[id];
  if (entry.server == 0) {
    entry.server = next_server_id_;
    ++next_server_id_;
  }
  return entry;
}

void EndpointDirectory::UpdateUpstream(Entry& entry, const ListedServer& listed,
                                       std::vector<Command>& commands) {
  const bool ready = listed.state == ServerState::kReady;
  const bool address_changed = !listed.address.empty() && entry.address != listed.address;
  if (address_changed) entry.address = listed.address;
  if (ready && (address_changed || !entry.accepts_operations) && !entry.address.empty()) {
    commands.push_back(SetAddress{entry.server, entry.address});
  }
  // Otherwise an operation that waits for a connection to the server would still start once the connection is
  // open, no matter how long after this update.
  if (!ready && entry.accepts_operations) commands.push_back(RemoveServer{entry.server});
  entry.accepts_operations = ready;
}

EndpointEntry EndpointDirectory::ToEndpointEntry(const ListedServer& listed, ServerId server) const {
  EndpointEntry entry;
  entry.server = server;
  entry.group = listed.group;
  entry.zone = IndexOfZone(zones_, listed.zone);
  entry.kind = IndexOfName(kinds_, listed.kind);
  entry.state = listed.state;
  entry.capacity_hint = listed.capacity_hint;
  entry.boot_time = listed.started_unix_ms * kMicrosPerMs;
  entry.listed_primary = listed.is_primary;
  return entry;
}

std::optional<ServerId> EndpointDirectory::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  return found->second.server;
}

std::string EndpointDirectory::IdOf(ServerId server) const {
  for (const auto& [id, entry] : entries_) {
    if (entry.server == server) return id;
  }
  return "-";
}

std::optional<std::string> EndpointDirectory::RecordReplicatedRole(ServerId server, Role role) {
  for (auto& [id, entry] : entries_) {
    if (entry.server != server) continue;
    if (entry.replicated_role == role) return std::nullopt;
    entry.replicated_role = role;
    return id;
  }
  return std::nullopt;
}

}  // namespace tulipyoke
