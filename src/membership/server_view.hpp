// The status of a server as reported to operators.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_SERVER_VIEW_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_SERVER_VIEW_HPP_

#include <string>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// The status that determines how a server is listed.
enum class ServerStatus {
  kInService,          // admitted, and no source drains it
  kAwaitingAdmission,  // new and not yet admitted
  kTerminating,        // a source announces it as terminating
  kVanished,           // a source that announced it no longer does
  kSuppressed,         // suppressed for flapping
};

// Returns the text that is printed for operators.
const char* ToText(ServerStatus status);

struct ServerView {
  ListedServer listed;
  ServerStatus status = ServerStatus::kInService;
  std::vector<std::string> sources;  // sources with a record of the server; '-' prefix: drains it
  Micros since = 0;                  // time at which `status` was set
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_SERVER_VIEW_HPP_
