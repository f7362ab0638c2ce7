// During a hot restart, replicates session commits and server roles to the peer process, and translates the
// updates received from it into events for the routing policy.
#ifndef TULIPYOKE_SRC_DISPATCH_PEER_REPLICATION_HPP_
#define TULIPYOKE_SRC_DISPATCH_PEER_REPLICATION_HPP_

#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/endpoint_directory.hpp"
#include "src/dispatch/in_flight_table.hpp"
#include "src/dispatch/outcome.hpp"
#include "src/dispatch/peer_update.hpp"
#include "src/dispatch/position_scale.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// Holds references to all constructor arguments, which must outlive it.
class PeerReplication {
 public:
  PeerReplication(const Router& router, EndpointDirectory& directory, const PositionScale& position_scale)
      : router_(router), directory_(directory), position_scale_(position_scale) {}

  void SetEnabled(bool enabled) { enabled_ = enabled; }

  // The full state to send to a new peer process.
  std::vector<SessionUpdate> SessionUpdates() const;
  std::vector<ServerUpdate> ServerUpdates() const;

  // If replication is enabled, issues updates for what the outcome changed. Must be called after the policy
  // has handled the outcome. The updates are inserted before all other commands, so that the peer has them
  // before the client receives the response and sends its next request.
  void ReplicateOutcome(const Operation& operation, Role role, bool committed,
                        std::vector<Command>& commands);

  SessionCommit ToEvent(const SessionUpdate& update) const;
  // Returns nullopt for a server that is not listed in this process.
  std::optional<ServerObservation> ToEvent(const ServerUpdate& update) const;

 private:
  SessionUpdate ToUpdate(const SessionCommit& session) const;
  ServerUpdate ToUpdate(const std::string& id, ServerId server) const;

  const Router& router_;
  EndpointDirectory& directory_;
  const PositionScale& position_scale_;
  bool enabled_ = false;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_PEER_REPLICATION_HPP_
