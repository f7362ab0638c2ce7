// The state of a server as shown to operators.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_SERVER_VIEW_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_SERVER_VIEW_HPP_

#include <string>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// Why a server is listed as it is.
enum class ServerStatus {
  kInService,          // every source that announces it has it in service
  kAwaitingAdmission,  // it is new and not admitted yet
  kTerminating,        // a source announces it as terminating
  kVanished,           // a source that announced it does so no more
  kSuppressed,         // it is suppressed for flapping
};

// The status as printed for operators.
const char* ToText(ServerStatus status);

struct ServerView {
  ListedServer listed;
  ServerStatus status = ServerStatus::kInService;
  std::vector<std::string> sources;  // those with a record of it; a '-' precedes each that drains it
  Micros since = 0;                  // of `status`
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_SERVER_VIEW_HPP_
