// The times at which servers are to be evaluated again, at most one for each server.
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
  // Replaces a server's time; none cancels it.
  void Set(const std::string& id, std::optional<Micros> time);
  // A server's time; none if nothing is scheduled for it.
  std::optional<Micros> TimeOf(const std::string& id) const;
  // Takes the earliest server whose time has come out of the schedule.
  std::optional<std::string> PopDue(Micros now);
  // The earliest time; none if the schedule is empty.
  std::optional<Micros> NextDue() const;

 private:
  std::map<std::string, Micros> time_by_id_;
  std::set<std::pair<Micros, std::string>> by_time_;  // the same, ordered by time and then id
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_WAKEUP_SCHEDULE_HPP_
