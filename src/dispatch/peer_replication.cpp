#include "src/dispatch/peer_replication.hpp"

#include <cstdint>
#include <utility>

namespace tulipyoke {
namespace {

constexpr std::uint64_t kAllSessions = 0;  // argument of Router::known_commits

void PushFront(std::vector<Command>& commands, PeerUpdate update) {
  commands.insert(commands.begin(), ReplicateToPeer{std::move(update)});
}

}  // namespace

std::vector<SessionUpdate> PeerReplication::SessionUpdates() const {
  std::vector<SessionUpdate> updates;
  for (const SessionCommit& session : router_.known_commits(kAllSessions))
    updates.push_back(ToUpdate(session));
  return updates;
}

std::vector<ServerUpdate> PeerReplication::ServerUpdates() const {
  std::vector<ServerUpdate> updates;
  for (const auto& [id, entry] : directory_.entries()) updates.push_back(ToUpdate(id, entry.server));
  return updates;
}

void PeerReplication::ReplicateOutcome(const Operation& operation, Role role, bool committed,
                                       std::vector<Command>& commands) {
  if (!enabled_) return;
  if (committed && operation.session_key != 0) {
    for (const SessionCommit& session : router_.known_commits(operation.session_key)) {
      PushFront(commands, ToUpdate(session));
    }
  }
  if (role == Role::kUnknown) return;
  if (const auto id = directory_.RecordReplicatedRole(operation.server, role)) {
    PushFront(commands, ToUpdate(*id, operation.server));
  }
}

SessionCommit PeerReplication::ToEvent(const SessionUpdate& update) const {
  return {update.session_key, update.group, position_scale_.FromUnixMsRoundedUp(update.commit_unix_ms)};
}

std::optional<ServerObservation> PeerReplication::ToEvent(const ServerUpdate& update) const {
  const std::optional<ServerId> server = directory_.Find(update.id);
  if (!server) return std::nullopt;
  return ServerObservation{*server, update.role, update.role_time,
                           position_scale_.FromUnixMsRoundedDown(update.position_unix_ms)};
}

SessionUpdate PeerReplication::ToUpdate(const SessionCommit& session) const {
  return {session.key, session.group, position_scale_.ToUnixMsRoundedUp(session.position_ms)};
}

ServerUpdate PeerReplication::ToUpdate(const std::string& id, ServerId server) const {
  const ServerObservation observation = router_.observation(server);
  const bool has_position = observation.position_ms > 0;
  return {id, observation.role, observation.role_time,
          has_position ? position_scale_.ToUnixMsRoundedDown(observation.position_ms) : 0};
}

}  // namespace tulipyoke
