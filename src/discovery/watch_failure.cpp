#include "src/discovery/watch_failure.hpp"

namespace tulipyoke::discovery {

std::string ToText(const WatchFailure& failure) {
  switch (failure.kind) {
    case WatchFailure::Kind::kTransport:
      return failure.error.message();
    case WatchFailure::Kind::kResponseTimeout:
      return "no answer in time";
    case WatchFailure::Kind::kHeartbeatTimeout:
      return "no word in time";
    case WatchFailure::Kind::kInvalidValue:
      return "a word that cannot be used";
    case WatchFailure::Kind::kResponseEnded:
      return "the answer ended or was no watch";
    case WatchFailure::Kind::kRefreshRequested:
      return "the whole list is wanted";
  }
  return "";
}

}  // namespace tulipyoke::discovery
