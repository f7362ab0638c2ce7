// Replicates session commits and server roles to the other process of this router while one takes over from
// the other, and translates the updates that come from there into events of the decision module.
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

// Keeps references to the module and to the directory; their owner is also the owner of this.
class PeerReplication {
 public:
  PeerReplication(const Router& router, EndpointDirectory& directory, const PositionScale& positions)
      : router_(router), directory_(directory), positions_(positions) {}

  void SetEnabled(bool enabled) { enabled_ = enabled; }

  // Everything that a new peer process has to know.
  std::vector<SessionUpdate> Sessions() const;
  std::vector<ServerUpdate> Servers() const;

  // What the outcome changed, if a peer process is there. The module must have handled the outcome. The
  // commands go in front of all others: the peer knows before the client gets the response and asks again.
  void ReplicateOutcome(const Operation& operation, Role role, bool committed,
                        std::vector<Command>& commands);

  SessionCommit ToEvent(const SessionUpdate& update) const;
  // None for a server that is not listed here.
  std::optional<ServerObservation> ToEvent(const ServerUpdate& update) const;

 private:
  SessionUpdate ToUpdate(const SessionCommit& session) const;
  ServerUpdate ToUpdate(const std::string& id, ServerId server) const;

  const Router& router_;
  EndpointDirectory& directory_;
  const PositionScale& positions_;
  bool enabled_ = false;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_PEER_REPLICATION_HPP_
