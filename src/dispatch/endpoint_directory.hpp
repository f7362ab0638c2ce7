// The servers that service discovery lists, by their id in the lists, with their ServerId and address.
#ifndef TULIPYOKE_SRC_DISPATCH_ENDPOINT_DIRECTORY_HPP_
#define TULIPYOKE_SRC_DISPATCH_ENDPOINT_DIRECTORY_HPP_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/commands.hpp"
#include "src/dispatch/endpoint_list.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

class EndpointDirectory {
 public:
  struct Entry {
    ServerId server = 0;
    std::string address;
    bool accepts_operations = false;        // SetAddress was issued, and no RemoveServer since
    Role replicated_role = Role::kUnknown;  // the role last sent to the peer process
  };
  // By the id in the lists. A server that is removed and listed again gets a new ServerId, so that the state
  // recorded for its former ServerId is not applied to it.
  using Entries = std::map<std::string, Entry>;

  // `zones` and `kinds` are the configured names. The policy identifies each by its index.
  EndpointDirectory(std::vector<std::string> zones, std::vector<std::string> kinds);

  // Updates the entries, appends commands for the upstream pool and returns the event for the policy.
  EndpointListUpdate Apply(const EndpointList& list, EndpointListKind kind, std::vector<Command>& commands);

  std::optional<ServerId> Find(const std::string& id) const;
  // The id of the server in the lists, or "-" if it is no longer listed.
  std::string IdOf(ServerId server) const;
  // Records the role that is replicated to the peer process. Returns the server's id if the role has changed.
  std::optional<std::string> RecordReplicatedRole(ServerId server, Role role);
  const Entries& entries() const { return entries_; }

 private:
  void RemoveUnlisted(const EndpointList& list, std::vector<Command>& commands);
  Entry& FindOrAdd(const std::string& id);
  // Appends SetAddress or RemoveServer if the server's state or address has changed accordingly.
  static void UpdateUpstream(Entry& entry, const ListedServer& listed, std::vector<Command>& commands);
  EndpointEntry ToEndpointEntry(const ListedServer& listed, ServerId server) const;

  std::vector<std::string> zones_, kinds_;
  Entries entries_;
  ServerId next_server_id_ = 1;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_ENDPOINT_DIRECTORY_HPP_
