// What clients, servers and those who tell of servers saw, each in its own words: the only thing the rules
// are judged by. The same for every protocol and for emulated peers. Times are microseconds of one clock;
// positions are microseconds of the same clock.
#ifndef TULIPYOKE_CHECKS_HISTORY_HPP_
#define TULIPYOKE_CHECKS_HISTORY_HPP_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::checks {

enum class End { kServed, kRefused, kFailed, kBroken, kLeft };

// A client's request has been written whole to a router.
struct Asked {
  std::string request, router, request_class, key;  // key: of the session or the write; empty: none
  Micros deadline = 0;                              // when the client gives up
};
// Its end, as the client saw it: an answer, a connection that broke, or the client that went away.
struct Ended {
  std::string request;
  End end = End::kServed;
};
// An attempt's last byte has reached a server.
struct Reached {
  std::string request, router, server;  // router: empty where the server cannot tell
  Micros begun = 0;                     // when its first byte was there
  double work = 0;                      // of a server at full capacity, in microseconds
};
// The server is through with it: it took effect, or its value was read at this position.
struct Ran {
  std::string request, server;
  Micros position = 0;
};
// It surely never ran there: turned away, or ended before it was begun.
struct NotRun {
  std::string request, server;
};
// A process has started; at full capacity it does `capacity` microseconds of work a microsecond.
struct Started {
  std::string server;
  double capacity = 1;
};
enum class Heard { kReady, kDraining, kGone };
// A router has been told, by whatever means.
struct Told {
  std::string router, server;
  Heard heard = Heard::kReady;
};
// The router was killed: what it had is void.
struct Killed {
  std::string router;
};
using What = std::variant<Asked, Ended, Reached, Ran, NotRun, Started, Told, Killed>;

struct Event {
  Micros when = 0;
  What what;
};

// Filled from several threads.
class History {
 public:
  void Add(Micros when, What what) {
    const std::lock_guard lock(mutex_);
    events_.push_back({when, std::move(what)});
  }
  // By time; at the same time in the order added.
  std::vector<Event> Events() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Event> events_;
};

}  // namespace tulipyoke::checks

#endif  // TULIPYOKE_CHECKS_HISTORY_HPP_
