// The servers that service discovery lists: their ids in the lists, their numbers and their addresses.
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
    bool accepts_operations = false;        // a SetAddress was issued and no RemoveServer after it
    Role replicated_role = Role::kUnknown;  // the role that the peer process was told last
  };
  // By the id in the lists. A server that has left the list and comes back gets a new number, because what
  // was known of the former one must not be believed any more.
  using Entries = std::map<std::string, Entry>;

  // `zones` and `kinds` are the configured names; the module knows them by their index.
  EndpointDirectory(std::vector<std::string> zones, std::vector<std::string> kinds);

  // Updates the entries, appends commands for the server side and returns the event for the module.
  EndpointListUpdate Apply(const EndpointList& list, EndpointListKind kind, std::vector<Command>& commands);

  std::optional<ServerId> Find(const std::string& id) const;
  // The id of the server in the lists, or "-" for one that has left them.
  std::string IdOf(ServerId server) const;
  // Records the role that the peer process is told; returns the server's id if the role is a new one.
  std::optional<std::string> RecordReplicatedRole(ServerId server, Role role);
  const Entries& entries() const { return entries_; }

 private:
  void RemoveUnlisted(const EndpointList& list, std::vector<Command>& commands);
  Entry& FindOrAdd(const std::string& id);
  // Issues SetAddress or RemoveServer if the server's state or address calls for it.
  static void UpdateServerSide(Entry& entry, const ListedServer& listed, std::vector<Command>& commands);
  EndpointEntry ToModuleEntry(const ListedServer& listed, ServerId server) const;

  std::vector<std::string> zones_, kinds_;
  Entries entries_;
  ServerId next_server_ = 1;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_ENDPOINT_DIRECTORY_HPP_
