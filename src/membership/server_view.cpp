#include "src/membership/server_view.hpp"

namespace tulipyoke::membership {

const char* ToText(ServerStatus status) {
  switch (status) {
    case ServerStatus::kInService:
      return "in service";
    case ServerStatus::kAwaitingAdmission:
      return "waits to be let in";
    case ServerStatus::kTerminating:
      return "terminating";
    case ServerStatus::kVanished:
      return "vanished";
    case ServerStatus::kSuppressed:
      return "held down for flapping";
  }
  return "";
}

}  // namespace tulipyoke::membership
