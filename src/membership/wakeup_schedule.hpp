// Schedules when servers are to be evaluated again, with at most one time per server.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_WAKEUP_SCHEDULE_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_WAKEUP_SCHEDULE_HPP_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

class WakeupSchedule {
 public:
  // Sets or replaces a server's time; std::nullopt cancels it.
  void Set(const std::string& id, std::optional<Micros> time);
  // Returns a server's time; nothing if the server is not scheduled.
  std::optional<Micros> TimeOf(const std::string& id) const;
  // Removes the earliest server that is due from the schedule and returns it; nothing if none is due.
  std::optional<std::string> PopDue(Micros now);
  // Returns the earliest time; nothing if the schedule is empty.
  std::optional<Micros> NextDue() const;

 private:
  std::map<std::string, Micros> time_by_id_;
  std::set<std::pair<Micros, std::string>> by_time_;  // the same entries, ordered by time and then by id
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_WAKEUP_SCHEDULE_HPP_
