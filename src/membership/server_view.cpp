#include "src/membership/server_view.hpp"

namespace tulipyoke::membership {

const char* ToText(Reason reason) {
  switch (reason) {
    case Reason::kInService:
      return "in service";
    case Reason::kAwaitingAdmission:
      return "waits to be let in";
    case Reason::kTerminating:
      return "terminating";
    case Reason::kVanished:
      return "vanished";
    case Reason::kSuppressed:
      return "held down for flapping";
  }
  return "";
}

}  // namespace tulipyoke::membership
